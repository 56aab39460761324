package org.cicadaarch.dispatch.request

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import org.cicadaarch.dispatch.request.OpenRequest.Phase.InFlight
import org.cicadaarch.dispatch.request.OpenRequest.Phase.Queued
import org.cicadaarch.dispatch.routing.RetryPolicy
import org.cicadaarch.model.Timestamp

/**
 * Computes the timeouts of an open request.
 */
internal object RequestTimers {
    /** Time for a response that the target sends at the deadline to arrive. */
    private val DEADLINE_GRACE = 40.milliseconds

    /** Fraction of the latency objective after which a queued request is refused. */
    private const val QUEUE_TIMEOUT_FRACTION = 0.125

    /** Fraction of the latency objective after which an idempotent request without a response is retried elsewhere. */
    private const val ATTEMPT_TIMEOUT_FRACTION = 0.7
    private val MIN_ATTEMPT_TIMEOUT = 50.milliseconds

    /**
     * Fractions of the latency objective within which a connection to a target must be established, and after which no
     * further one is tried: the client then still has time to reach another router.
     */
    private const val CONNECT_TIMEOUT_FRACTION = 0.25
    private const val CONNECT_TRIES_FRACTION = 0.5
    private val CONNECT_TIMEOUTS = 50.milliseconds..300.milliseconds

    /** When the next timeout of [open] expires. */
    fun nextTimeout(open: OpenRequest): Timestamp = when (val phase = open.phase) {
        is Queued -> minOf(open.deadline, queueTimeoutAt(open, phase))
        is InFlight -> minOf(requestTimeoutAt(open), attemptTimeoutAt(open, phase) ?: requestTimeoutAt(open))
    }

    /** When an in-flight request times out. */
    fun requestTimeoutAt(open: OpenRequest): Timestamp = open.deadline + DEADLINE_GRACE

    /** When a queued request is refused. */
    fun queueTimeoutAt(open: OpenRequest, phase: Queued): Timestamp =
        phase.since + open.request.route.latencyObjective * QUEUE_TIMEOUT_FRACTION

    /** When a slow attempt is cancelled in favor of another target, or null if the request does not allow it. */
    fun attemptTimeoutAt(open: OpenRequest, phase: InFlight): Timestamp? {
        val route = open.request.route
        val isAllowed = !phase.isFinal && !route.isStream && route.retryPolicy == RetryPolicy.IDEMPOTENT &&
            open.possibleRuns < route.maximumAttempts
        return if (isAllowed) phase.sentAt + attemptTimeout(route.latencyObjective) else null
    }

    /** How long a connection to a target may take. After a lost packet it takes longer than another target would. */
    fun connectTimeout(open: OpenRequest): Duration =
        (open.request.route.latencyObjective * CONNECT_TIMEOUT_FRACTION).coerceIn(CONNECT_TIMEOUTS)

    /** Whether [open], which has reached no target by [now], may still try to connect to another one. */
    fun mayConnectAgain(open: OpenRequest, now: Timestamp): Boolean =
        now - open.arrivedAt < open.request.route.latencyObjective * CONNECT_TRIES_FRACTION

    private fun attemptTimeout(latencyObjective: Duration): Duration =
        maxOf(MIN_ATTEMPT_TIMEOUT, latencyObjective * ATTEMPT_TIMEOUT_FRACTION)
}
