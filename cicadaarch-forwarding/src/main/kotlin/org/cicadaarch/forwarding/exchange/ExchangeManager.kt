package org.cicadaarch.forwarding.exchange

import io.netty.channel.EventLoop
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.util.concurrent.ScheduledFuture
import java.util.concurrent.TimeUnit
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import net.openhft.hashing.LongHashFunction
import org.cicadaarch.dispatch.observation.ObservationReport
import org.cicadaarch.dispatch.observation.ObservationSummary
import org.cicadaarch.dispatch.request.DispatchEffect
import org.cicadaarch.dispatch.request.DispatchEvent
import org.cicadaarch.dispatch.request.DispatchReducer
import org.cicadaarch.dispatch.request.DispatchRequest
import org.cicadaarch.dispatch.request.DispatchSettings
import org.cicadaarch.dispatch.request.DispatchState
import org.cicadaarch.dispatch.request.ExchangeId
import org.cicadaarch.dispatch.routing.Authorization
import org.cicadaarch.dispatch.routing.ClientAccount
import org.cicadaarch.dispatch.routing.ClientLimits
import org.cicadaarch.dispatch.routing.Route
import org.cicadaarch.dispatch.routing.RoutingTable
import org.cicadaarch.dispatch.target.TargetEntry
import org.cicadaarch.forwarding.NanoTimeClock
import org.cicadaarch.forwarding.format.HeaderFormat
import org.cicadaarch.forwarding.format.RequestMetadata
import org.cicadaarch.forwarding.observation.ForwardingMetrics
import org.cicadaarch.forwarding.peer.ObservedDispatch
import org.cicadaarch.forwarding.quarantine.QuarantineManager
import org.cicadaarch.forwarding.target.TargetConnectionPool
import org.cicadaarch.forwarding.target.TargetKey
import org.cicadaarch.logging.LogEvents
import org.cicadaarch.model.Timestamp
import org.cicadaarch.model.ZoneName
import org.cicadaarch.store.MemoryBudget

/**
 * Manages the open requests of a router: finds the route of each, runs the dispatch reducer and executes its effects.
 * All functions must be called on [eventLoop].
 */
internal class ExchangeManager(
    private val eventLoop: EventLoop,
    settings: DispatchSettings,
    private val connectionPool: TargetConnectionPool,
    private val format: HeaderFormat,
    private val metrics: ForwardingMetrics,
    private val quarantine: QuarantineManager,
) : ObservedDispatch {
    private var reducer = DispatchReducer(settings)
    private val tasks = ExchangeTasks(eventLoop)
    private val openExchanges = HashMap<ExchangeId, ForwardingExchange>()
    private val events = ArrayDeque<DispatchEvent>()
    private var isProcessing = false
    private var nextId = 0L
    private var timer: ScheduledFuture<*>? = null
    private var tickAt: Timestamp? = null
    private val heldExchanges = LinkedHashSet<ForwardingExchange>()
    private var holdUntil: Timestamp? = null
    private var hasTargetList = false

    init {
        quarantine.onRulesChanged = { submit(DispatchEvent.QuarantineChanged(it)) }
        quarantine.onTrialGranted = { submit(DispatchEvent.TrialGranted(it)) }
    }

    /** The state of the dispatch reducer. */
    var state = DispatchState(routerSeed = Random.nextLong())
        private set

    /** The configuration in force, or null before the first one was received. */
    var routingTable: RoutingTable? = null
        private set

    /** The client limits in force. */
    val limits: ClientLimits get() = routingTable?.limits ?: DEFAULT_LIMITS

    /** The memory for responses that are not passed on yet. */
    val responseMemory = MemoryBudget.ofProcess(RESPONSE_MEMORY_SHARE)

    /** The memory for what clients send. */
    val requestMemory = MemoryBudget.ofProcess(REQUEST_MEMORY_SHARE, maxShare = 0.5)

    /** Number of requests that have not ended. */
    val openCount: Int get() = openExchanges.size

    /**
     * For [time] from now, holds requests that arrive before both the configuration and the targets are known, instead
     * of refusing them.
     */
    fun holdEarlyRequests(time: Duration) {
        holdUntil = NanoTimeClock.now() + time
        eventLoop.schedule(::releaseHeld, time.inWholeMilliseconds, TimeUnit.MILLISECONDS)
    }

    /** Uses [next] for requests that start from now on. */
    fun installRoutingTable(next: RoutingTable) {
        routingTable = next
        submit(DispatchEvent.ServicesChanged(next.services))
        if (hasTargetList) releaseHeld()
    }

    /** Uses [settings] from now on. */
    fun reconfigure(settings: DispatchSettings) {
        reducer = DispatchReducer(settings)
    }

    /** Replaces the known targets by [entries]. */
    fun updateTargets(entries: List<TargetEntry>) {
        connectionPool.closeAllExcept(entries.mapTo(HashSet()) { TargetKey.of(it) })
        submit(DispatchEvent.TargetsChanged(entries))
        hasTargetList = true
        if (routingTable != null) releaseHeld()
    }

    /** Sends nothing more to targets in [zones], and to exactly these. */
    fun updateEvacuatedZones(zones: Set<ZoneName>) = submit(DispatchEvent.ZonesEvacuated(zones))

    override val targetEntries: List<TargetEntry> get() = state.targets.values.map { it.entry }

    override fun takeReport(): ObservationReport {
        val report = state.observations.unreported.report(NanoTimeClock.now())
        submit(DispatchEvent.ObservationsReported)
        return report
    }

    override fun apply(summary: ObservationSummary) = submit(DispatchEvent.FleetObserved(summary))

    /** Refuses [exchange] since the router is shutting down. */
    fun refuseStopping(exchange: ForwardingExchange) =
        refuse(exchange, HttpResponseStatus.SERVICE_UNAVAILABLE, "stopping")

    /** Ends all open requests, each with a response unless one has started, since the router is about to exit. */
    fun endAll() {
        heldExchanges.toList().forEach { refuseStopping(it) }
        heldExchanges.clear()
        submit(DispatchEvent.Stopping)
    }

    /** Starts [exchange], holds it until the configuration and the targets are known, or refuses it. */
    fun open(exchange: ForwardingExchange) {
        val isHolding = holdUntil?.let { NanoTimeClock.now() < it } ?: false
        val isRoutable = routingTable != null && hasTargetList
        val mayHold = isHolding && !isRoutable && heldExchanges.size < MAX_HELD_REQUESTS
        if (mayHold) heldExchanges += exchange else start(exchange)
    }

    /** Ends [exchange] after the client connection was closed for [reason]. */
    fun clientDisconnected(exchange: ForwardingExchange, reason: String) {
        if (heldExchanges.remove(exchange)) exchange.request.release() else exchange.clientDisconnected(reason)
    }

    private fun releaseHeld() {
        holdUntil = null
        val released = heldExchanges.toList()
        heldExchanges.clear()
        released.forEach { start(it) }
    }

    private fun start(exchange: ForwardingExchange) {
        val routes = routingTable ?: return refuse(exchange, HttpResponseStatus.SERVICE_UNAVAILABLE, "no-configuration")
        val metadata = format.readRequest(exchange.request.headers)
        val requestId = metadata.requestId
            ?: return refuse(exchange, HttpResponseStatus.BAD_REQUEST, "no-request-id")
        val route = routeOf(routes, exchange)
            ?: return refuse(exchange, HttpResponseStatus.NOT_FOUND, "no-route", requestId)
        val account = when (val authorization = routes.authorize(route, metadata.credential)) {
            Authorization.NotRequired -> null

            Authorization.Denied ->
                return refuse(exchange, HttpResponseStatus.UNAUTHORIZED, "unknown-credential", requestId)

            is Authorization.Granted -> authorization.account
        }
        val elapsed = NanoTimeClock.now() - exchange.arrivedAt
        val dispatchRequest = dispatchRequest(route, account, metadata, requestId, elapsed)
            .copy(traits = RequestTraits.of(exchange.request, account?.id, metadata))
        exchange.context = ExchangeContext(
            dispatchRequest = dispatchRequest,
            requestId = requestId,
            account = account,
            requestedLastEventId = metadata.lastEventId,
            sharedPromptParts = metadata.sharedPromptParts.map { it.id },
            configurationVersion = routes.version,
            connectionPool = connectionPool,
            format = format,
            responseMemory = responseMemory,
            quarantine = quarantine,
            metrics = metrics,
            submit = ::submit,
            tasks = tasks,
            onEnd = ::ended,
            exchange = exchange,
        )
        openExchanges[dispatchRequest.id] = exchange
        submit(DispatchEvent.RequestReceived(dispatchRequest))
    }

    private fun dispatchRequest(
        route: Route,
        account: ClientAccount?,
        metadata: RequestMetadata,
        requestId: String,
        elapsed: Duration,
    ): DispatchRequest {
        nextId += 1
        val hash = HASH.hashChars(requestId)
        val sharedPart = metadata.sharedPromptParts.lastOrNull() ?: metadata.promptParts.lastOrNull()
        return DispatchRequest(
            id = ExchangeId(nextId),
            route = route,
            service = route.serviceFor(hash ushr 1),
            priority = account?.priority ?: route.priority,
            timeAllowed = minOf(metadata.timeout ?: route.timeout, route.timeout) - elapsed,
            promptKey = if (route.hasPromptAffinity) sharedPart?.id else null,
            work = metadata.work,
            account = account?.id,
            sharedPromptTokens = metadata.sharedPromptParts.sumOf { it.tokens },
        )
    }

    private fun routeOf(routes: RoutingTable, exchange: ForwardingExchange): Route? {
        val host = exchange.request.headers[HttpHeaderNames.HOST].substringBefore(':').lowercase()
        return routes.route(host, exchange.request.uri.substringBefore('?'))
    }

    /** Records that a request with [requestId] is refused with [status] for [reason]. */
    fun recordRefusal(status: HttpResponseStatus, reason: String, requestId: String? = null) {
        LogEvents.info("request-refused") {
            "request" to requestId
            "status" to status.code()
            "reason" to reason
            "version" to routingTable?.version
        }
        metrics.recordRequest(service = null, status.code(), reason)
    }

    private fun refuse(
        exchange: ForwardingExchange,
        status: HttpResponseStatus,
        reason: String,
        requestId: String? = null,
    ) {
        recordRefusal(status, reason, requestId)
        val retryAfter = RETRY_AFTER.takeIf { status == HttpResponseStatus.SERVICE_UNAVAILABLE }
        exchange.refuse(status, retryAfter)
    }

    private fun ended(exchange: ForwardingExchange) {
        if (openExchanges.remove(exchange.context.dispatchRequest.id) != null) exchange.request.release()
    }

    private fun submit(event: DispatchEvent) {
        events.addLast(event)
        if (isProcessing) return
        isProcessing = true
        try {
            while (events.isNotEmpty()) reduce(events.removeFirst())
        } finally {
            isProcessing = false
        }
        scheduleTick()
    }

    private fun reduce(event: DispatchEvent) {
        val step = reducer.reduce(state, event, NanoTimeClock.now())
        state = step.state
        step.effects.forEach { execute(it) }
    }

    private fun execute(effect: DispatchEffect) {
        when (effect) {
            is DispatchEffect.Send -> send(effect)

            is DispatchEffect.Cancel -> openExchanges[effect.id]?.cancel(effect.attempt)

            is DispatchEffect.TargetEjected -> LogEvents.info("target-avoided") {
                "target" to effect.target
                "millis" to effect.duration.inWholeMilliseconds
                "failures" to effect.failures
            }

            is DispatchEffect.TargetNoticeTaken -> LogEvents.info("target-notice") {
                "target" to effect.target.id
                "startedAt" to effect.target.startedAtMillis
                "draining" to effect.notice.isDraining
                "backOffMillis" to effect.notice.backOff?.inWholeMilliseconds
            }

            is DispatchEffect.RequestHeldBack -> holdBack(effect)

            is DispatchEffect.Deliver -> openExchanges[effect.id]?.deliver()

            is DispatchEffect.Fail -> openExchanges[effect.id]?.fail(effect.failure)
        }
    }

    private fun send(effect: DispatchEffect.Send) {
        val exchange = openExchanges[effect.id] ?: return
        if (effect.warmUpRemaining != null) {
            LogEvents.info("warming-target-used") {
                "request" to exchange.context.requestId
                "target" to effect.target.id
                "warmUpMillis" to effect.warmUpRemaining?.inWholeMilliseconds
                "sequence" to effect.target.sequence
                "load" to effect.estimatedLoad
                "reportAge" to effect.loadReportAge?.inWholeMilliseconds
                "slots" to effect.target.slots
            }
            metrics.recordWarmUpRequest(effect.target.service)
        }
        exchange.send(effect)
    }

    private fun holdBack(effect: DispatchEffect.RequestHeldBack) {
        LogEvents.info("request-held-back") {
            "request" to openExchanges[effect.id]?.context?.requestId
            "traits" to effect.rule.traits.joinToString(separator = ",")
            "crashes" to effect.rule.crashCount
        }
        quarantine.requestRefused(effect.rule)
    }

    private fun scheduleTick() {
        val next = reducer.nextTick(state, NanoTimeClock.now()) ?: return
        val scheduledAt = tickAt
        if (scheduledAt != null && scheduledAt <= next) return
        timer?.cancel(false)
        tickAt = next
        val delay = (next - NanoTimeClock.now()).inWholeMilliseconds.coerceAtLeast(1)
        timer = eventLoop.schedule(::tick, delay, TimeUnit.MILLISECONDS)
    }

    private fun tick() {
        tickAt = null
        submit(DispatchEvent.Tick)
    }

    companion object {
        /** When a client that was refused for want of memory or of a configuration may come back. */
        val RETRY_AFTER = 250.milliseconds
        private val HASH: LongHashFunction = LongHashFunction.xx3()

        /** Bodies of requests take up to twice their size while they grow, and are kept until the response. */
        private const val REQUEST_MEMORY_SHARE = 0.25
        private const val RESPONSE_MEMORY_SHARE = 0.125

        /**
         * Bounds the memory for held requests. Further ones are started at once and refused while there is no
         * configuration.
         */
        private const val MAX_HELD_REQUESTS = 512

        /** In force until the first configuration is received. */
        private val DEFAULT_LIMITS = ClientLimits(
            headerBytes = 16 * 1024,
            bodyBytes = 4 * 1024 * 1024,
            headerTimeout = 3.seconds,
            idleTimeout = 15.seconds,
        )
    }
}
