package org.cicadaarch.forwarding.exchange

import io.netty.channel.EventLoop
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.util.concurrent.ScheduledFuture
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import net.openhft.hashing.LongHashFunction
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
import org.cicadaarch.forwarding.EventLoopClock
import org.cicadaarch.forwarding.format.HeaderFormat
import org.cicadaarch.forwarding.format.RequestMetadata
import org.cicadaarch.forwarding.observation.ForwardingMetrics
import org.cicadaarch.forwarding.target.TargetConnections
import org.cicadaarch.forwarding.target.TargetKey
import org.cicadaarch.logging.LogEvents
import org.cicadaarch.model.Timestamp

/**
 * All open requests of a router: finds the route of each, runs the dispatch and carries out its effects. All functions
 * run on [eventLoop].
 */
internal class Exchanges(
    private val eventLoop: EventLoop,
    settings: DispatchSettings,
    private val connections: TargetConnections,
    private val format: HeaderFormat,
    private val metrics: ForwardingMetrics,
) {
    private var reducer = DispatchReducer(settings)
    private val open = HashMap<ExchangeId, Exchange>()
    private val events = ArrayDeque<DispatchEvent>()
    private var isReducing = false
    private var nextId = 0L
    private var timer: ScheduledFuture<*>? = null
    private var timerAt: Timestamp? = null
    private val held = LinkedHashSet<Exchange>()
    private var holdsUntil: Timestamp? = null
    private var areTargetsKnown = false

    /** What the dispatch knows. */
    var state = DispatchState()
        private set

    /** The configuration in force, null before the first one came. */
    var table: RoutingTable? = null
        private set

    /** What callers may send now. */
    val limits: ClientLimits get() = table?.limits ?: LIMITS_WITHOUT_CONFIGURATION

    /** Requests that have not ended. */
    val size: Int get() = open.size

    /** Holds requests for [time] from now on while no configuration or no target is known, instead of refusing them. */
    fun holdEarly(time: Duration) {
        holdsUntil = EventLoopClock.now() + time
        eventLoop.schedule(::releaseHeld, time.inWholeMilliseconds, TimeUnit.MILLISECONDS)
    }

    /** Puts [next] in force for requests that come from now on. */
    fun install(next: RoutingTable) {
        table = next
        if (areTargetsKnown) releaseHeld()
    }

    /** Keeps the bounds of [settings] from now on. */
    fun reconfigure(settings: DispatchSettings) {
        reducer = DispatchReducer(settings)
    }

    /** The targets are now [entries]. */
    fun targetsChanged(entries: List<TargetEntry>) {
        connections.retain(entries.mapTo(HashSet()) { TargetKey.of(it) })
        submit(DispatchEvent.TargetsChanged(entries))
        areTargetsKnown = true
        if (table != null) releaseHeld()
    }

    /** Refuses [exchange] as this router is about to end. */
    fun refuseStopped(exchange: Exchange) = refuse(exchange, HttpResponseStatus.SERVICE_UNAVAILABLE, "stopping")

    /** Begins to serve [exchange], holds it for a moment, or refuses it. */
    fun open(exchange: Exchange) {
        val isHolding = holdsUntil?.let { EventLoopClock.now() < it } ?: false
        val isInformed = table != null && areTargetsKnown
        if (isHolding && !isInformed && held.size < MOST_HELD) held += exchange else begin(exchange)
    }

    /** The caller of [exchange] closed its connection. */
    fun callerLeft(exchange: Exchange) {
        if (held.remove(exchange)) exchange.request.body.release() else exchange.callerLeft()
    }

    private fun releaseHeld() {
        holdsUntil = null
        val released = held.toList()
        held.clear()
        released.forEach { begin(it) }
    }

    private fun begin(exchange: Exchange) {
        val routes = table ?: return refuse(exchange, HttpResponseStatus.SERVICE_UNAVAILABLE, "no-configuration")
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
        val waited = EventLoopClock.now() - exchange.arrivedAt
        val dispatched = dispatched(route, account, metadata, requestId, waited)
        exchange.context = ExchangeContext(
            dispatched = dispatched,
            requestId = requestId,
            account = account,
            resumesAfter = metadata.lastEventId,
            version = routes.version,
            connections = connections,
            format = format,
            metrics = metrics,
            submit = ::submit,
            onEnd = ::ended,
            exchange = exchange,
        )
        open[dispatched.id] = exchange
        submit(DispatchEvent.RequestReceived(dispatched))
    }

    private fun dispatched(
        route: Route,
        account: ClientAccount?,
        metadata: RequestMetadata,
        requestId: String,
        waited: Duration,
    ): DispatchRequest {
        nextId += 1
        val hash = HASH.hashChars(requestId)
        val shared = metadata.promptParts.dropLast(1).lastOrNull() ?: metadata.promptParts.lastOrNull()
        return DispatchRequest(
            id = ExchangeId(nextId),
            route = route,
            service = route.serviceFor(hash ushr 1),
            priority = account?.priority ?: route.priority,
            timeAllowed = minOf(metadata.timeout ?: route.timeout, route.timeout) - waited,
            promptKey = if (route.hasPromptAffinity) shared?.id else null,
        )
    }

    private fun routeOf(routes: RoutingTable, exchange: Exchange): Route? {
        val host = exchange.request.headers[HttpHeaderNames.HOST].substringBefore(':').lowercase()
        return routes.route(host, exchange.request.uri.substringBefore('?'))
    }

    private fun refuse(exchange: Exchange, status: HttpResponseStatus, reason: String, requestId: String? = null) {
        LogEvents.info("request-refused") {
            "request" to requestId
            "status" to status.code()
            "reason" to reason
            "version" to table?.version
        }
        metrics.ended(service = null, status.code(), reason)
        val retryAfter = RETRY_AFTER.takeIf { status == HttpResponseStatus.SERVICE_UNAVAILABLE }
        exchange.refuse(status, retryAfter)
    }

    private fun ended(exchange: Exchange) {
        if (open.remove(exchange.context.dispatched.id) != null) exchange.request.body.release()
    }

    private fun submit(event: DispatchEvent) {
        events.addLast(event)
        if (isReducing) return
        isReducing = true
        try {
            while (events.isNotEmpty()) reduce(events.removeFirst())
        } finally {
            isReducing = false
        }
        schedule()
    }

    private fun reduce(event: DispatchEvent) {
        val step = reducer.reduce(state, event, EventLoopClock.now())
        state = step.state
        step.effects.forEach { carryOut(it) }
    }

    private fun carryOut(effect: DispatchEffect) {
        when (effect) {
            is DispatchEffect.Send -> open[effect.id]?.send(effect)

            is DispatchEffect.Cancel -> open[effect.id]?.cancel(effect.attempt)

            is DispatchEffect.TargetEjected -> LogEvents.info("target-avoided") {
                "target" to effect.target
                "millis" to effect.duration.inWholeMilliseconds
                "failures" to effect.failures
            }

            is DispatchEffect.Deliver -> open[effect.id]?.deliver()

            is DispatchEffect.Fail -> open[effect.id]?.fail(effect.failure)
        }
    }

    private fun schedule() {
        val next = reducer.nextTick(state) ?: return
        val planned = timerAt
        if (planned != null && planned <= next) return
        timer?.cancel(false)
        timerAt = next
        val delay = (next - EventLoopClock.now()).inWholeMilliseconds.coerceAtLeast(1)
        timer = eventLoop.schedule(::tick, delay, TimeUnit.MILLISECONDS)
    }

    private fun tick() {
        timerAt = null
        submit(DispatchEvent.Tick)
    }

    private companion object {
        val HASH: LongHashFunction = LongHashFunction.xx3()
        val RETRY_AFTER = 250.milliseconds

        /** Requests that are held at a time; further ones are refused, as memory is bounded. */
        const val MOST_HELD = 512
        val LIMITS_WITHOUT_CONFIGURATION = ClientLimits(
            headerBytes = 16 * 1024,
            bodyBytes = 4 * 1024 * 1024,
            headerTimeout = 3.seconds,
            idleTimeout = 15.seconds,
        )
    }
}
