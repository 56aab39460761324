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
import org.cicadaarch.admission.TargetOwnership
import org.cicadaarch.configuration.dissemination.ConfigurationEvent
import org.cicadaarch.configuration.dissemination.ConfigurationReducer
import org.cicadaarch.configuration.dissemination.ConfigurationSettings
import org.cicadaarch.core.RoleReducers
import org.cicadaarch.core.RouterEvent
import org.cicadaarch.core.RouterReducer
import org.cicadaarch.logging.LogEvents
import org.cicadaarch.membership.MembershipEvent
import org.cicadaarch.membership.MembershipReducer
import org.cicadaarch.membership.MembershipSettings
import org.cicadaarch.model.RouterAddress
import org.cicadaarch.model.RouterId
import org.cicadaarch.model.RouterInfo
import org.cicadaarch.router.caller.CallerAuthentication
import org.cicadaarch.router.caller.CallerServer
import org.cicadaarch.router.caller.ExchangeRegistry
import org.cicadaarch.router.observation.RouterMetrics
import org.cicadaarch.router.observation.RouterTracing
import org.cicadaarch.router.operators.OperatorsApi
import org.cicadaarch.router.operators.OperatorsServer
import org.cicadaarch.router.peer.PeerDatagrams
import org.cicadaarch.router.peer.PeerLinks
import org.cicadaarch.router.peer.PeerSockets
import org.cicadaarch.router.runtime.EffectRunner
import org.cicadaarch.router.runtime.MonotonicClock
import org.cicadaarch.router.runtime.ReducerLoop
import org.cicadaarch.router.settings.RouterSettings
import org.cicadaarch.router.target.EngineControl
import org.cicadaarch.router.target.TargetAddress
import org.cicadaarch.router.target.TargetClient
import org.cicadaarch.router.target.TargetProbe
import org.cicadaarch.store.EtcdStore
import org.cicadaarch.store.HttpVirtualMachineList

/**
 * A router: the reducer and everything that carries out its effects.
 *
 * Its peer address is bound at once, since it is part of the router's identity. The constructor throws an exception
 * when that address is in use.
 */
class RouterProcess(private val settings: RouterSettings) {
    private val startNumber = SecureRandom().nextLong()
    private val peerSockets = PeerSockets.bind(settings.peerAddress)
    private val self = RouterId("${peerSockets.address}/${java.lang.Long.toHexString(startNumber)}")
    private val eventLoops = MultiThreadIoEventLoopGroup(NioIoHandler.newFactory())
    private val background = Executors.newSingleThreadScheduledExecutor {
        Thread(it, "background").apply { isDaemon = true }
    }
    private val metrics = RouterMetrics()
    private val tracing = RouterTracing(settings.traceEndpoint, self.value)
    private val authentication = CallerAuthentication()
    private val store = EtcdStore(eventLoops, socketAddress(settings.storeAddress), STORE_TIMEOUT)
    private val vmList = HttpVirtualMachineList(eventLoops, socketAddress(settings.vmListAddress))
    private val targets = TargetClient()
    private val engines = EngineControl(targets, eventLoops)
    private val stopping = AtomicBoolean()
    private val stopped = CountDownLatch(1)

    private val reducer = RouterReducer(
        RoleReducers(
            membership = MembershipReducer(MembershipSettings(seed = startNumber)),
            configuration = ConfigurationReducer(ConfigurationSettings(seed = startNumber)),
        ),
    )
    private val loop = ReducerLoop(
        reducer = reducer,
        initialState = reducer.initial(
            self = RouterInfo(self, peerSockets.address, settings.zone, settings.region),
            now = MonotonicClock.now(),
            epochSeconds = MonotonicClock.epochSeconds(),
        ),
        carryOut = { effects.run(it) },
    )
    private val exchanges = ExchangeRegistry(
        authentication = authentication,
        targets = targets,
        metrics = metrics,
        tracing = tracing,
        fleet = { loop.state.ingress.fleet },
        submit = { loop.submit(RouterEvent.Ingress(it)) },
    )
    private val callers = CallerServer(settings, eventLoops, exchanges::admit)
    private val peers = PeerLinks(
        self = self,
        listener = peerSockets.connections,
        addressOf = { loop.state.view.routers[it]?.address },
        observer = metrics,
        receive = { from, message -> loop.submit(RouterEvent.PeerMessageReceived(from, message)) },
        unreachable = { loop.submit(RouterEvent.PeerUnreachable(it)) },
    )
    private val datagrams = PeerDatagrams(
        socket = peerSockets.datagrams,
        observe = { sent, bytes -> metrics.controlBytes("membership", sent, bytes) },
        receive = { from, message -> loop.submit(RouterEvent.Membership(MembershipEvent.Received(from, message))) },
    )
    private val effects: EffectRunner = EffectRunner(
        exchanges = exchanges,
        peers = peers,
        datagrams = datagrams,
        store = store,
        virtualMachines = vmList,
        engines = engines,
        probe = TargetProbe(eventLoops),
        background = background,
        fleet = { loop.state.ingress.fleet },
        submit = loop::submit,
    )
    private val operatorsApi = OperatorsApi(
        state = { loop.state },
        metrics = metrics,
        openRequests = { exchanges.openRequests },
        statusWanted = { loop.submit(RouterEvent.Configuration(ConfigurationEvent.StatusRequested)) },
        isDraining = { stopping.get() },
        drain = { Thread(::stop, "drain").start() },
    )
    private val operators = OperatorsServer(settings.operatorsAddress, eventLoops, operatorsApi::answer)

    /** The address for other routers, with the port in use. */
    val peerAddress: RouterAddress get() = peerSockets.address

    /** The address for operators, with the port in use, once the process has started. */
    lateinit var operatorsAddress: RouterAddress
        private set

    /** The address for callers, with the port in use, once the process has started. */
    lateinit var callerAddress: RouterAddress
        private set

    /** Starts everything; fails with an exception when an address is taken. */
    fun start() {
        registerGauges()
        loop.start()
        peers.start()
        datagrams.start()
        operatorsAddress = operators.start()
        callerAddress = callers.start()
        background.scheduleWithFixedDelay(
            ::readLoads,
            LOAD_INTERVAL_MILLISECONDS,
            LOAD_INTERVAL_MILLISECONDS,
            TimeUnit.MILLISECONDS,
        )
        LogEvents.info("router-started") {
            "router" to self
            "callers" to callerAddress
            "operators" to operatorsAddress
            "peers" to peerAddress
            "zone" to settings.zone
        }
    }

    /**
     * Shuts down gracefully: tells the balancer for the drain notice that it is not ready while it still serves, then
     * takes no new connections and waits for the open requests, up to the drain timeout.
     */
    fun stop() {
        if (!stopping.compareAndSet(false, true)) {
            stopped.await()
            return
        }
        LogEvents.info("router-draining") { "openRequests" to exchanges.openRequests }
        loop.submit(RouterEvent.Membership(MembershipEvent.LeaveRequested))
        callers.announceDrain()
        Thread.sleep(settings.drainNotice.inWholeMilliseconds)
        callers.drain()
        val deadline = System.nanoTime() + settings.drainTimeout.inWholeNanoseconds
        while (!isDrained() && System.nanoTime() < deadline) Thread.sleep(DRAIN_POLL_MILLISECONDS)
        LogEvents.info("router-stopped") { "openRequests" to exchanges.openRequests }
        loop.submit(RouterEvent.Membership(MembershipEvent.LeaveCompleted))
        Thread.sleep(FAREWELL_MILLISECONDS)
        loop.close()
        peers.close()
        datagrams.close()
        peerSockets.close()
        tracing.close()
        eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS)
        stopped.countDown()
    }

    /** Waits until [stop] is done. */
    fun awaitStopped() = stopped.await()

    private fun isDrained(): Boolean =
        exchanges.openRequests == 0 && callers.openConnections == 0 && loop.state.claimant.claims.isEmpty()

    /** An owner corrects its count by what its targets report, so it reads only those that it owns. */
    private fun readLoads() {
        val state = loop.state
        state.ingress.fleet?.targets.orEmpty()
            .filterKeys { TargetOwnership.ownerOf(it, state.view) == self }
            .forEach { (id, target) ->
                engines.readLoad(TargetAddress.of(target)) { load ->
                    if (load != null) loop.submit(RouterEvent.LoadReported(id, load.running, load.waiting))
                }
            }
    }

    private fun registerGauges() {
        metrics.gauge("cicadaarch_open_requests", "Requests that have not ended.") {
            exchanges.openRequests.toDouble()
        }
        metrics.gauge("cicadaarch_caller_connections", "Open connections of callers.") {
            callers.openConnections.toDouble()
        }
        metrics.gauge("cicadaarch_configuration_revision", "The revision in force.") {
            loop.state.revision.value.toDouble()
        }
        metrics.targetGauge("cicadaarch_target_in_flight", "Permits of the targets that this router owns.") {
            val state = loop.state
            state.ingress.fleet?.targets.orEmpty()
                .filterKeys { TargetOwnership.ownerOf(it, state.view) == self }
                .map { (id, target) ->
                    Triple(target.service.value, id.value, state.admission.inFlight(id).toDouble())
                }
        }
        metrics.gauge("cicadaarch_live_routers", "Routers fit for roles in this router's view.") {
            loop.state.view.routers.size.toDouble()
        }
    }

    private fun socketAddress(address: RouterAddress): InetSocketAddress = InetSocketAddress(address.host, address.port)

    private companion object {
        const val LOAD_INTERVAL_MILLISECONDS = 500L
        const val DRAIN_POLL_MILLISECONDS = 50L
        const val FAREWELL_MILLISECONDS = 50L
        val STORE_TIMEOUT = 2.seconds
    }
}
