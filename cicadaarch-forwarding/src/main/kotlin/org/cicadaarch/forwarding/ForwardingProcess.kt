package org.cicadaarch.forwarding

import io.netty.channel.EventLoopGroup
import io.netty.handler.codec.http.HttpResponseStatus
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.cicadaarch.dispatch.request.DispatchSettings
import org.cicadaarch.forwarding.caller.CallerListener
import org.cicadaarch.forwarding.exchange.Exchanges
import org.cicadaarch.forwarding.fleet.FleetReader
import org.cicadaarch.forwarding.fleet.FollowRunner
import org.cicadaarch.forwarding.format.FleetFormat
import org.cicadaarch.forwarding.format.HeaderFormat
import org.cicadaarch.forwarding.http.HttpEndpoint
import org.cicadaarch.forwarding.http.HttpReply
import org.cicadaarch.forwarding.observation.ForwardingMetrics
import org.cicadaarch.forwarding.peer.PeerExchange
import org.cicadaarch.forwarding.target.TargetConnections
import org.cicadaarch.logging.LogEvents
import org.cicadaarch.store.Store

/**
 * A router that forwards requests by the routes of the store's configuration to the targets that the store lists.
 * Everything runs on the one event loop of [eventLoops].
 */
class ForwardingProcess(
    private val settings: ForwardingSettings,
    private val eventLoops: EventLoopGroup,
    store: Store,
    headerFormat: HeaderFormat,
    private val fleetFormat: FleetFormat,
) {
    private val eventLoop = eventLoops.next()
    private val stopping = AtomicBoolean()
    private val stopped = CountDownLatch(1)
    private val connections = TargetConnections(eventLoop, headerFormat)
    private val metrics = ForwardingMetrics()
    private val exchanges = Exchanges(eventLoop, settings.dispatch, connections, headerFormat, metrics)
    private val callers = CallerListener(settings.listenAddress, eventLoops, exchanges)
    private val readiness = HttpEndpoint(settings.readinessAddress, eventLoops) { uri, respond ->
        respond(
            when {
                uri == METRICS_PATH -> HttpReply(HttpResponseStatus.OK, metrics.text())
                uri != settings.readinessPath -> HttpReply(HttpResponseStatus.NOT_FOUND)
                exchanges.table != null && !stopping.get() -> HttpReply(HttpResponseStatus.OK)
                else -> HttpReply(HttpResponseStatus.SERVICE_UNAVAILABLE)
            },
        )
    }
    private val reader = FleetReader(fleetFormat, exchanges::install, exchanges::targetsChanged)
    private val configuration = FollowRunner(
        prefix = fleetFormat.configurationPrefix,
        settleTime = Duration.ZERO,
        shortestOutage = Duration.ZERO,
        store = store,
        eventLoop = eventLoop,
        onChange = reader::configurationChanged,
    )
    private val targets = FollowRunner(
        prefix = fleetFormat.targetPrefix,
        settleTime = minOf(LONGEST_TARGET_RETURN, settings.drainTimeout - DRAIN_MARGIN),
        shortestOutage = settings.targetHeartbeatInterval / 2,
        store = store,
        eventLoop = eventLoop,
        onChange = reader::targetsChanged,
    )

    private val peers = PeerExchange(
        self = settings.peerAddress,
        seeds = settings.seedPeers,
        eventLoops = eventLoops,
        eventLoop = eventLoop,
        followers = followers(),
    )

    /** Starts everything; fails with an exception when an address is taken. */
    fun start() {
        registerGauges()
        readiness.start()
        peers.listen()
        exchanges.holdEarly(settings.startupHoldTime)
        callers.start()
        LogEvents.info("router-started") {
            "router" to settings.name
            "callers" to settings.listenAddress
            "readiness" to settings.readinessAddress
            "zone" to settings.dispatch.zone
        }
        eventLoop.submit {
            connections.start()
            configuration.start()
            targets.start()
            peers.start()
        }.sync()
    }

    /** Keeps the bounds of [dispatch] from now on; addresses and the store stay those of the start. */
    fun reconfigure(dispatch: DispatchSettings) = eventLoop.execute { exchanges.reconfigure(dispatch) }

    /**
     * Shuts down gracefully: is not ready for [BALANCER_NOTICE] while it still takes requests, then takes none, closes
     * idle connections and ends when none is left, or shortly before the grace period is over.
     */
    fun stop() {
        if (!stopping.compareAndSet(false, true)) {
            stopped.await()
            return
        }
        val deadline = System.nanoTime() + (settings.gracePeriod - LAST_MOMENT).inWholeNanoseconds
        LogEvents.info("router-draining") { "openRequests" to exchanges.size }
        onEventLoop { callers.drain() }
        Thread.sleep(BALANCER_NOTICE.inWholeMilliseconds)
        onEventLoop { callers.stop() }
        while (System.nanoTime() < deadline && openConnections() > 0) {
            onEventLoop { callers.closeIdle() }
            Thread.sleep(DRAIN_POLL.inWholeMilliseconds)
        }
        LogEvents.info("router-stopped") { "openRequests" to exchanges.size }
        stopped.countDown()
    }

    /** Waits until [stop] is done. */
    fun awaitStopped() = stopped.await()

    private fun registerGauges() {
        metrics.gauge("cicadaarch_target_load", "Requests that this router believes a target to have.", "target") {
            val now = EventLoopClock.now()
            exchanges.state.targets.values.associate { it.entry.id.value to it.load(now) }
        }
        metrics.gauge("cicadaarch_retry_budget", "Attempts after the first that are still allowed.", "service") {
            exchanges.state.retryBudgets.entries.associate { (service, budget) -> service.value to budget.tokens }
        }
        metrics.gauge("cicadaarch_store_revision", "The store's revision that is known, by prefix.", "prefix") {
            followers().mapValues { it.value.state.revision.toDouble() }
        }
        metrics.gauge("cicadaarch_store_failures", "Calls that failed since the last good one, by prefix.", "prefix") {
            followers().mapValues { it.value.state.failures.toDouble() }
        }
        metrics.gauge("cicadaarch_router", "The configuration's version and what is open.", "value") {
            mapOf(
                "configuration-version" to (exchanges.table?.version ?: 0L).toDouble(),
                "open-requests" to exchanges.size.toDouble(),
                "caller-connections" to callers.openConnections.toDouble(),
            )
        }
    }

    private fun followers(): Map<String, FollowRunner> =
        mapOf(fleetFormat.configurationPrefix to configuration, fleetFormat.targetPrefix to targets)

    private fun openConnections(): Int = eventLoop.submit<Int> { callers.openConnections }.get(1, TimeUnit.SECONDS)

    private fun onEventLoop(action: () -> Unit) {
        eventLoop.submit(action).get(1, TimeUnit.SECONDS)
    }

    private companion object {
        const val METRICS_PATH = "/metrics"

        /** Entries that lapsed during an outage come back within about two seconds. */
        val LONGEST_TARGET_RETURN = 2200.milliseconds

        /** Time for the last request to a target that left to arrive there. */
        val DRAIN_MARGIN = 200.milliseconds

        /** The balancer asks every second and believes two misses. */
        val BALANCER_NOTICE = 2500.milliseconds
        val DRAIN_POLL = 50.milliseconds
        val LAST_MOMENT = 0.7.seconds
    }
}
