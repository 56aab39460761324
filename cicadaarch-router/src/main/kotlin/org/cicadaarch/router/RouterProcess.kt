package org.cicadaarch.router

import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import java.net.InetSocketAddress
import java.security.SecureRandom
import java.util.concurrent.CountDownLatch
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.time.Duration.Companion.seconds
import org.cicadaarch.configuration.FleetDocumentParser
import org.cicadaarch.core.RouterEffect
import org.cicadaarch.core.RouterEvent
import org.cicadaarch.core.RouterReducer
import org.cicadaarch.core.RouterState
import org.cicadaarch.membership.ListedVm
import org.cicadaarch.membership.MembershipEffect
import org.cicadaarch.membership.MembershipEvent
import org.cicadaarch.membership.MembershipReducer
import org.cicadaarch.membership.MembershipSettings
import org.cicadaarch.model.Revision
import org.cicadaarch.model.RouterAddress
import org.cicadaarch.model.RouterId
import org.cicadaarch.model.RouterInfo
import org.cicadaarch.model.store.StoreCommand
import org.cicadaarch.model.store.StoreResult
import org.cicadaarch.model.store.StoredValue
import org.cicadaarch.platform.EtcdStore
import org.cicadaarch.platform.HttpVirtualMachineList
import org.cicadaarch.request.IngressEffect
import org.cicadaarch.request.IngressEvent
import org.cicadaarch.router.caller.CallerAuthentication
import org.cicadaarch.router.caller.CallerServer
import org.cicadaarch.router.caller.ExchangeRegistry
import org.cicadaarch.router.observation.LogEvents
import org.cicadaarch.router.observation.RouterMetrics
import org.cicadaarch.router.observation.RouterTracing
import org.cicadaarch.router.operators.OperatorsApi
import org.cicadaarch.router.operators.OperatorsServer
import org.cicadaarch.router.peer.PeerDatagrams
import org.cicadaarch.router.peer.PeerLinks
import org.cicadaarch.router.runtime.MonotonicClock
import org.cicadaarch.router.runtime.ReducerLoop
import org.cicadaarch.router.settings.RouterSettings
import org.cicadaarch.router.target.TargetClient
import org.cicadaarch.router.target.TargetProbe

/**
 * A router: the reducer and everything that carries out its effects.
 */
class RouterProcess(private val settings: RouterSettings) {
    private val self = RouterId("${settings.peerAddress}/${java.lang.Long.toHexString(SecureRandom().nextLong())}")
    private val selfInfo = RouterInfo(self, settings.peerAddress, settings.zone, settings.region)
    private val eventLoops = MultiThreadIoEventLoopGroup(NioIoHandler.newFactory())
    private val metrics = RouterMetrics()
    private val tracing = RouterTracing(settings.traceEndpoint, self.value)
    private val authentication = CallerAuthentication()
    private val store = EtcdStore(eventLoops, socketAddress(settings.storeAddress), STORE_TIMEOUT)
    private val vmList = HttpVirtualMachineList(eventLoops, socketAddress(settings.vmListAddress))
    private val timer = Executors.newSingleThreadScheduledExecutor { Thread(it, "timer").apply { isDaemon = true } }
    private val stopping = AtomicBoolean()
    private val stopped = CountDownLatch(1)

    private val loop: ReducerLoop = ReducerLoop(
        reducer = RouterReducer(
            membershipReducer = MembershipReducer(MembershipSettings(seed = self.hashCode().toLong())),
        ),
        initialState = RouterState.initial(selfInfo, MonotonicClock.now(), MonotonicClock.epochSeconds()),
        carryOut = ::carryOut,
    )
    private val registry = ExchangeRegistry(
        authentication = authentication,
        targets = TargetClient(),
        metrics = metrics,
        tracing = tracing,
        fleet = { loop.state.ingress.fleet },
        submit = { loop.submit(RouterEvent.Ingress(it)) },
    )
    private val probe = TargetProbe(eventLoops)
    private val callers = CallerServer(settings, eventLoops, registry::admit)
    private val peers = PeerLinks(
        self = self,
        listenAddress = settings.peerAddress,
        addressOf = { loop.state.view.routers[it]?.address },
        observer = metrics,
        receive = { from, message -> loop.submit(RouterEvent.PeerMessageReceived(from, message)) },
        unreachable = { loop.submit(RouterEvent.PeerUnreachable(it)) },
    )
    private val datagrams = PeerDatagrams(
        listenAddress = settings.peerAddress,
        observe = { sent, bytes -> metrics.controlBytes("membership", sent, bytes) },
        receive = { from, message -> loop.submit(RouterEvent.Membership(MembershipEvent.Received(from, message))) },
    )
    private val operatorsApi = OperatorsApi(
        state = { loop.state },
        metrics = metrics,
        openRequests = { registry.openRequests },
        drain = { Thread(::stop, "drain").start() },
    )
    private val operators = OperatorsServer(settings.operatorsAddress, eventLoops, operatorsApi::answer)

    /** Starts everything; fails with an exception when an address is taken. */
    fun start() {
        metrics.gauge("cicadaarch_open_requests", "Requests that have not ended.") { registry.openRequests.toDouble() }
        metrics.gauge("cicadaarch_configuration_revision", "The revision in force.") {
            loop.state.revision.value.toDouble()
        }
        loop.start()
        peers.start()
        datagrams.start()
        operators.start()
        callers.start()
        readDocument()
        LogEvents.info("router-started") {
            "router" to self
            "callers" to settings.callerAddress
            "operators" to settings.operatorsAddress
            "zone" to settings.zone
        }
    }

    /** Shuts down gracefully: takes no new connections and waits for the open requests, up to the drain timeout. */
    fun stop() {
        if (!stopping.compareAndSet(false, true)) return
        LogEvents.info("router-draining") { "openRequests" to registry.openRequests }
        loop.submit(RouterEvent.Membership(MembershipEvent.LeaveRequested))
        callers.drain()
        val deadline = System.nanoTime() + settings.drainTimeout.inWholeNanoseconds
        while (registry.openRequests > 0 && System.nanoTime() < deadline) Thread.sleep(DRAIN_POLL_MILLISECONDS)
        LogEvents.info("router-stopped") { "openRequests" to registry.openRequests }
        loop.submit(RouterEvent.Membership(MembershipEvent.LeaveCompleted))
        Thread.sleep(FAREWELL_MILLISECONDS)
        loop.close()
        peers.close()
        datagrams.close()
        tracing.close()
        eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS)
        stopped.countDown()
    }

    /** Waits until [stop] is done. */
    fun awaitStopped() = stopped.await()

    private fun carryOut(effect: RouterEffect) {
        when (effect) {
            is RouterEffect.SendToPeer -> peers.send(effect.to, effect.message)

            is RouterEffect.SendDatagram -> datagrams.send(effect.to, effect.message)

            RouterEffect.FetchVirtualMachines -> fetchVirtualMachines()

            is RouterEffect.MembershipNotice -> log(effect.notice)

            is RouterEffect.NoticeOfLedger -> LogEvents.info("ledger") { "notice" to effect.notice }

            is RouterEffect.Store -> store.execute(effect.command) { result ->
                loop.submit(RouterEvent.StoreAnswered(effect.token, result))
            }

            is RouterEffect.Ingress -> carryOut(effect.effect)
        }
    }

    private fun carryOut(effect: IngressEffect) {
        when (effect) {
            is IngressEffect.StartAttempt -> startAttempt(effect)

            is IngressEffect.CancelAttempt -> registry.withExchange(effect.attempt.request) {
                it.cancelAttempt(effect.attempt)
            }

            is IngressEffect.EndRequest -> registry.withExchange(effect.request) {
                it.end(effect.outcome, effect.reason)
            }

            is IngressEffect.ProbeTarget -> probe(effect)

            is IngressEffect.Claim,
            is IngressEffect.FinishClaim,
            is IngressEffect.SendToOwner,
            is IngressEffect.ReportCrash,
            -> Unit
        }
    }

    private fun startAttempt(effect: IngressEffect.StartAttempt) {
        val target = loop.state.ingress.fleet?.targets?.get(effect.target) ?: return
        registry.startAttempt(effect.attempt, TargetAddress.of(target), effect.resumeAfter)
    }

    private fun probe(effect: IngressEffect.ProbeTarget) {
        val target = loop.state.ingress.fleet?.targets?.get(effect.target) ?: return
        probe.probe(TargetAddress.of(target)) { alive ->
            loop.submit(RouterEvent.Ingress(IngressEvent.ProbeAnswered(effect.attempt, alive)))
        }
    }

    private fun fetchVirtualMachines() {
        vmList.fetch { result ->
            result.onRight { machines ->
                val entries = machines.map { ListedVm(it.address, it.zone, it.leaving) }
                loop.submit(RouterEvent.Membership(MembershipEvent.ListFetched(entries)))
            }
        }
    }

    private fun log(notice: MembershipEffect) {
        LogEvents.info("membership") { "notice" to notice }
    }

    private fun socketAddress(address: RouterAddress): InetSocketAddress = InetSocketAddress(address.host, address.port)

    private fun readDocument() {
        store.execute(StoreCommand.Read(DOCUMENT_KEY)) { result ->
            if (result is StoreResult.Values) {
                result.values.forEach(::install)
                awaitDocument(result.revision)
            } else {
                timer.schedule(::readDocument, 1, TimeUnit.SECONDS)
            }
        }
    }

    private fun awaitDocument(afterRevision: Long) {
        store.execute(StoreCommand.AwaitChange(DOCUMENT_KEY, afterRevision, WATCH_TIMEOUT)) { result ->
            if (result is StoreResult.Values) {
                result.values.forEach(::install)
                awaitDocument(maxOf(afterRevision, result.values.maxOfOrNull { it.revision } ?: 0))
            } else {
                timer.schedule(::readDocument, 1, TimeUnit.SECONDS)
            }
        }
    }

    private fun install(stored: StoredValue) {
        val text = stored.value ?: return
        FleetDocumentParser.parse(text).fold(
            ifLeft = { errors -> LogEvents.warn("document-refused") { "errors" to errors.size } },
            ifRight = { loop.submit(RouterEvent.FleetChanged(Revision(stored.revision), it)) },
        )
    }

    private companion object {
        const val DOCUMENT_KEY = "cicadaarch/fleet"
        const val FAREWELL_MILLISECONDS = 50L
        const val DRAIN_POLL_MILLISECONDS = 50L
        val STORE_TIMEOUT = 2.seconds
        val WATCH_TIMEOUT = 60.seconds
    }
}
