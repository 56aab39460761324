package org.cicadaarch.dispatch.request

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import org.cicadaarch.dispatch.request.OpenRequest.Phase.Running
import org.cicadaarch.dispatch.request.OpenRequest.Phase.Waiting
import org.cicadaarch.dispatch.routing.RetryPolicy
import org.cicadaarch.model.Timestamp

/**
 * The moments at which a request is looked at again.
 */
internal object RequestTimers {
    /** Time for a target's own answer at the deadline to arrive. */
    private val DEADLINE_GRACE = 40.milliseconds

    /** The part of the objective after which a request that found no place is refused. */
    private const val WAITING_PART = 0.125

    /** The part of the objective after which an idempotent request without an answer is sent to another target. */
    private const val SILENCE_PART = 0.7
    private val LEAST_SILENCE = 50.milliseconds

    /** The next moment for [open]. */
    fun nextFor(open: OpenRequest): Timestamp = when (val phase = open.phase) {
        is Waiting -> minOf(open.endsAt, refusedAt(open, phase))
        is Running -> minOf(overdueAt(open), abandonedAt(open, phase) ?: overdueAt(open))
    }

    /** When a running request has no time left. */
    fun overdueAt(open: OpenRequest): Timestamp = open.endsAt + DEADLINE_GRACE

    /** When a waiting request is refused. */
    fun refusedAt(open: OpenRequest, phase: Waiting): Timestamp =
        phase.since + open.request.route.latencyObjective * WAITING_PART

    /** When the attempt is given up for another, or null when it must not be. */
    fun abandonedAt(open: OpenRequest, phase: Running): Timestamp? {
        val route = open.request.route
        val isAllowed = !phase.isLast && !route.isStream && route.retryPolicy == RetryPolicy.IDEMPOTENT &&
            open.starts < route.maximumAttempts
        return if (isAllowed) phase.sentAt + silence(route.latencyObjective) else null
    }

    private fun silence(objective: Duration): Duration = maxOf(LEAST_SILENCE, objective * SILENCE_PART)
}
