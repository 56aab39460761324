package org.cicadaarch.forwarding

import io.netty.channel.EventLoopGroup
import io.netty.handler.codec.http.HttpResponseStatus
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit
import org.cicadaarch.dispatch.admission.QueueReport
import org.cicadaarch.dispatch.request.DispatchSettings
import org.cicadaarch.dispatch.warmup.WarmingTargets
import org.cicadaarch.forwarding.backlog.BacklogLimit
import org.cicadaarch.forwarding.backlog.BacklogTracker
import org.cicadaarch.forwarding.client.ClientListener
import org.cicadaarch.forwarding.exchange.ExchangeManager
import org.cicadaarch.forwarding.fleet.FleetReader
import org.cicadaarch.forwarding.fleet.PrefixWatcher
import org.cicadaarch.forwarding.fleet.RemovedTargets
import org.cicadaarch.forwarding.fleet.StoreGauges
import org.cicadaarch.forwarding.fleet.StoreProbe
import org.cicadaarch.forwarding.fleet.TargetRemovalPolicy
import org.cicadaarch.forwarding.format.FleetFormat
import org.cicadaarch.forwarding.format.HeaderFormat
import org.cicadaarch.forwarding.http.HttpEndpoint
import org.cicadaarch.forwarding.http.HttpReply
import org.cicadaarch.forwarding.observation.ForwardingMetrics
import org.cicadaarch.forwarding.observation.ObservedStore
import org.cicadaarch.forwarding.peer.HttpPeerTransport
import org.cicadaarch.forwarding.peer.PeerSync
import org.cicadaarch.forwarding.quarantine.CrashRecordReader
import org.cicadaarch.forwarding.quarantine.CrashRecordStore
import org.cicadaarch.forwarding.quarantine.QuarantineManager
import org.cicadaarch.forwarding.target.TargetConnectionPool
import org.cicadaarch.forwarding.target.TargetKey
import org.cicadaarch.logging.LogEvents
import org.cicadaarch.model.RouterAddress
import org.cicadaarch.store.Store
import org.cicadaarch.store.StoreEra

/**
 * A router process. Matches client requests against the routes of the configuration in the store, and forwards each to
 * one of the targets that the store lists. Everything runs on one event loop of [eventLoops].
 */
class ForwardingProcess(
    private val settings: ForwardingSettings,
    private val eventLoops: EventLoopGroup,
    store: Store,
    private val storeEra: StoreEra,
    headerFormat: HeaderFormat,
    private val fleetFormat: FleetFormat,
) {
    private val eventLoop = eventLoops.next()
    private val scheduler = EventLoopScheduler(eventLoop)
    private val stopping = AtomicBoolean()
    private val stopped = CountDownLatch(1)
    private val connectionPool = TargetConnectionPool(eventLoop, headerFormat)
    private val metrics = ForwardingMetrics()
    private val observedStore = ObservedStore(store, metrics)
    private val crashRecordStore = CrashRecordStore(CRASH_RECORD_PREFIX, observedStore, scheduler, storeEra)
    private val quarantine = QuarantineManager(
        router = settings.name,
        recordStore = crashRecordStore,
        recordReader = CrashRecordReader(CRASH_RECORD_PREFIX),
        scheduler = scheduler,
        checkTarget = { target, onResult -> connectionPool.check(TargetKey.of(target), CRASH_CHECK_TIMEOUT, onResult) },
    )
    private val exchanges =
        ExchangeManager(eventLoop, settings.dispatch, connectionPool, headerFormat, metrics, quarantine)
    private val backlogs =
        BacklogTracker(BacklogLimit(settings.maxUnsentBytes), scheduler, onAborted = metrics::recordUnreadResponse)
    private val clientListener = ClientListener(settings.listenAddress, eventLoops, exchanges, backlogs)
    private val statusEndpoint = HttpEndpoint(settings.readinessAddress, eventLoops) { request, respond ->
        respond(
            when {
                request.uri == METRICS_PATH -> HttpReply(HttpResponseStatus.OK, metrics.text())
                request.uri != settings.readinessPath -> HttpReply(HttpResponseStatus.NOT_FOUND)
                exchanges.routingTable != null && !stopping.get() -> HttpReply(HttpResponseStatus.OK)
                else -> HttpReply(HttpResponseStatus.SERVICE_UNAVAILABLE)
            },
        )
    }
    private val removalPolicy = TargetRemovalPolicy(settings.targetHeartbeatInterval, settings.drainTimeout)
    private val fleetReader = FleetReader(
        format = fleetFormat,
        onRoutingTable = exchanges::installRoutingTable,
        onTargets = exchanges::updateTargets,
        onEvacuatedZones = exchanges::updateEvacuatedZones,
        removedTargets = RemovedTargets(removalPolicy.ignoreTime, NanoTimeClock::now),
    )
    private val configurationWatcher = PrefixWatcher(
        prefix = fleetFormat.configurationPrefix,
        removalGracePeriod = Duration.ZERO,
        minOutage = Duration.ZERO,
        maxValueLength = Int.MAX_VALUE,
        store = observedStore,
        scheduler = scheduler,
        onValues = fleetReader::configurationChanged,
        restorationGracePeriod = OPERATOR_REWRITE_TIME,
    )
    private val targetWatcher = PrefixWatcher(
        prefix = fleetFormat.targetPrefix,
        removalGracePeriod = removalPolicy.gracePeriod,
        minOutage = removalPolicy.minOutage,
        maxValueLength = fleetFormat.maxTargetLength,
        store = observedStore,
        scheduler = scheduler,
        onValues = fleetReader::targetsChanged,
        maxRemovalAge = removalPolicy.maxRemovalAge,
    )

    private val crashRecordWatcher = PrefixWatcher(
        prefix = CRASH_RECORD_PREFIX,
        removalGracePeriod = Duration.ZERO,
        minOutage = Duration.ZERO,
        maxValueLength = CrashRecordReader.MAX_LENGTH,
        store = observedStore,
        scheduler = scheduler,
        onValues = quarantine::recordsChanged,
        batchingDelay = CrashRecordStore.BATCHING_DELAY,
        restorationGracePeriod = CrashRecordStore.REWRITE_TIME,
    )

    private val storeProbe = StoreProbe(
        store = observedStore,
        scheduler = scheduler,
        bound = settings.configurationApplyTime,
    )
    private val peerTransport = HttpPeerTransport(settings.peerAddress, eventLoops)

    /** The addresses in use, once the process has started. */
    lateinit var addresses: ListeningAddresses
        private set

    /** Binds all addresses and starts to watch the store. Throws an exception when an address is in use. */
    fun start() {
        registerGauges()
        storeEra.onChange { change -> scheduler.execute { storeEraChanged(change) } }
        crashRecordWatcher.onRestored = ::rewriteCrashRecords
        val readiness = statusEndpoint.bind()
        statusEndpoint.accept()
        val peers = peerTransport.bind()
        val peerSync = peerSync(self = peers)
        peerSync.listen()
        exchanges.holdEarlyRequests(settings.startupHoldTime)
        addresses = ListeningAddresses(clients = clientListener.start(), readiness = readiness, peers = peers)
        LogEvents.info("router-started") {
            "router" to settings.name
            "callers" to addresses.clients
            "readiness" to addresses.readiness
            "peers" to addresses.peers
            "zone" to settings.dispatch.zone
        }
        eventLoop.submit {
            connectionPool.start()
            configurationWatcher.start()
            targetWatcher.start()
            crashRecordWatcher.start()
            peerSync.start()
        }.sync()
    }

    /** Applies [dispatch] from now on. The addresses and the store cannot change while the process runs. */
    fun reconfigure(dispatch: DispatchSettings) = eventLoop.execute { exchanges.reconfigure(dispatch) }

    /**
     * Shuts down gracefully. Reports not ready for [LOAD_BALANCER_DELAY], at most half of the grace period, while
     * requests are still served, then refuses new requests and closes idle connections. Returns when no connection is
     * left, or [EXIT_MARGIN] before the grace period ends; requests that are open then get an error response. If a
     * shutdown is already in progress, waits for it.
     */
    fun stop() {
        if (!stopping.compareAndSet(false, true)) {
            stopped.await()
            return
        }
        val timeLeft = (settings.gracePeriod - EXIT_MARGIN).coerceAtLeast(Duration.ZERO)
        val deadline = System.nanoTime() + timeLeft.inWholeNanoseconds
        LogEvents.info("router-draining") { "openRequests" to exchanges.openCount }
        runOnEventLoop { clientListener.drain() }
        Thread.sleep(minOf(LOAD_BALANCER_DELAY, timeLeft / 2).inWholeMilliseconds)
        runOnEventLoop { clientListener.stop() }
        while (System.nanoTime() < deadline && openConnections() > 0) {
            runOnEventLoop { clientListener.closeIdle() }
            Thread.sleep(DRAIN_POLL_INTERVAL.inWholeMilliseconds)
        }
        LogEvents.info("router-stopped") { "openRequests" to exchanges.openCount }
        endOpenRequests()
        stopped.countDown()
    }

    /** Ends the requests that are open and gives their responses time to be sent. */
    private fun endOpenRequests() {
        if (openConnections() == 0) return
        runOnEventLoop { exchanges.endAll() }
        Thread.sleep(FLUSH_TIME.inWholeMilliseconds)
    }

    /** Waits until [stop] has finished. */
    fun awaitStopped() = stopped.await()

    private fun storeEraChanged(change: StoreEra.Change) {
        if (change.isRestoration) {
            LogEvents.warn("store-restored") {
                "era" to change.after
                "before" to change.before
            }
            fleetReader.storeRestored()
            scheduler.schedule(removalPolicy.ignoreTime) { fleetReader.endIgnoringRemovedTargets() }
        }
        prefixWatchers().values.forEach { it.eraObserved(change.after) }
    }

    /** Only by routers that watch the store, of which there are few. */
    private fun rewriteCrashRecords(missing: Map<String, String>) = crashRecordStore.rewrite(missing) { key ->
        crashRecordWatcher.state.let { it.isWatchingStore && key in it.expiring }
    }

    private fun peerSync(self: RouterAddress) = PeerSync(
        self = self,
        seeds = settings.seedPeers,
        transport = peerTransport,
        scheduler = scheduler,
        prefixWatchers = prefixWatchers(),
        dispatch = exchanges,
        imbalanceFactor = settings.dispatch.imbalanceFactor,
        storeProbe = storeProbe,
        storeEra = storeEra,
        bound = settings.configurationApplyTime,
    )

    private fun registerCapacityGauges() {
        metrics.registerGauge(
            name = "cicadaarch_target_capacity",
            help = "Share of its usual load that a target handles well, for targets where it is below 1.",
            label = "target",
        ) {
            val limited = exchanges.state.capacities.limited(NanoTimeClock.now())
            limited.entries.associate { (target, capacity) -> target.value to capacity.share }
        }
        metrics.registerGauge(
            name = "cicadaarch_target_relative_time",
            help = "Response time of a target with limited capacity, as a multiple of the middle one of its service.",
            label = "target",
        ) {
            val limited = exchanges.state.capacities.limited(NanoTimeClock.now())
            limited.entries.associate { (target, capacity) -> target.value to capacity.relativeTime }
        }
        metrics.registerGauge(
            name = "cicadaarch_target_capacity_age_seconds",
            help = "Age of the capacities that the fleet tells; absent if this router goes by its own.",
            label = "source",
        ) {
            val age = exchanges.state.capacities.age(NanoTimeClock.now())
            listOfNotNull(age?.let { "fleet" to it.toDouble(DurationUnit.SECONDS) }).toMap()
        }
    }

    private fun registerGauges() {
        registerCapacityGauges()
        metrics.registerGauge(
            name = "cicadaarch_target_load",
            help = "Requests that this router believes a target to have.",
            label = "target",
        ) {
            val now = NanoTimeClock.now()
            exchanges.state.targets.values.associate { it.entry.id.value to it.load(now) }
        }
        metrics.registerGauge(
            name = "cicadaarch_targets_warming_up",
            help = "Targets that are warming up, of services that limit what such targets get.",
            label = "service",
        ) {
            WarmingTargets.countByService(exchanges.state, NanoTimeClock.now())
                .entries.associate { (service, count) -> service.value to count.toDouble() }
        }
        metrics.registerGauge(
            name = "cicadaarch_retry_budget",
            help = "Attempts after the first that are still allowed.",
            label = "service",
        ) {
            exchanges.state.retryBudgets.entries.associate { (service, budget) -> service.value to budget.tokens }
        }
        registerQueueGauges()
        StoreGauges(metrics, prefixWatchers(), storeEra).register()
        registerProcessGauges()
    }

    private fun registerProcessGauges() {
        metrics.registerGauge(
            name = "cicadaarch_buffered_bytes",
            help = "Bytes that are buffered, by what they are part of.",
            label = "part",
        ) {
            mapOf(
                "unsent-responses" to backlogs.totalBytes.toDouble(),
                "incomplete-responses" to exchanges.responseMemory.usedBytes.toDouble(),
                "requests" to exchanges.requestMemory.usedBytes.toDouble(),
            )
        }
        metrics.registerGauge(
            name = "cicadaarch_router",
            help = "The configuration's version and what is open.",
            label = "value",
        ) {
            mapOf(
                "configuration-version" to (exchanges.routingTable?.version ?: 0L).toDouble(),
                "open-requests" to exchanges.openCount.toDouble(),
                "evacuated-zones" to exchanges.state.evacuations.zones.size.toDouble(),
                "quarantine-rules" to quarantine.state.rules.size.toDouble(),
                "crash-records" to quarantine.state.recordCount.toDouble(),
                "unread-responses" to backlogs.responseCount.toDouble(),
                "caller-connections" to clientListener.openConnections.toDouble(),
            )
        }
    }

    private fun registerQueueGauges() {
        metrics.registerGauge(
            name = "cicadaarch_queued_requests",
            help = "Requests that wait at this router for a target.",
            label = "service",
        ) {
            QueueReport.lengths(exchanges.state).entries.associate { (service, length) ->
                service.value to length.toDouble()
            }
        }
        metrics.registerGauge(
            name = "cicadaarch_queue_wait_seconds",
            help = "Estimated wait of a new request; absent while targets have free slots or nothing is known.",
            label = "service",
        ) {
            QueueReport.waits(exchanges.state, NanoTimeClock.now()).entries.associate { (service, estimate) ->
                service.value to estimate.wait.toDouble(DurationUnit.SECONDS)
            }
        }
    }

    private fun prefixWatchers(): Map<String, PrefixWatcher> = mapOf(
        fleetFormat.configurationPrefix to configurationWatcher,
        fleetFormat.targetPrefix to targetWatcher,
        CRASH_RECORD_PREFIX to crashRecordWatcher,
    )

    private fun openConnections(): Int =
        eventLoop.submit<Int> { clientListener.openConnections }.get(1, TimeUnit.SECONDS)

    private fun runOnEventLoop(action: () -> Unit) {
        eventLoop.submit(action).get(1, TimeUnit.SECONDS)
    }

    private companion object {
        const val METRICS_PATH = "/metrics"

        /** Where routers keep records of crashes in the store. */
        const val CRASH_RECORD_PREFIX = "cicadaarch/crashes/"

        /**
         * How long the operators' values that the store lost when it returned from an older copy stay in force, unless
         * they are written again.
         */
        val OPERATOR_REWRITE_TIME = 5.seconds

        /** A target that runs accepts connections sooner, one that crashed refuses them at once. */
        val CRASH_CHECK_TIMEOUT = 300.milliseconds

        /** The load balancer probes readiness every second and acts on two failed probes. */
        val LOAD_BALANCER_DELAY = 2500.milliseconds
        val DRAIN_POLL_INTERVAL = 50.milliseconds
        val EXIT_MARGIN = 0.7.seconds

        /** Well within [EXIT_MARGIN]. */
        val FLUSH_TIME = 200.milliseconds
    }
}
