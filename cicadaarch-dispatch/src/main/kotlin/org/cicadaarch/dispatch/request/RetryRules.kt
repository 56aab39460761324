package org.cicadaarch.dispatch.request

import kotlin.time.Duration.Companion.milliseconds
import org.cicadaarch.dispatch.routing.RetryPolicy
import org.cicadaarch.model.Timestamp

/**
 * Whether a request may have another attempt, by its route, its earlier attempts and the time that is left. The retry
 * budget and a target that takes the attempt are needed besides.
 */
internal object RetryRules {
    private const val MIN_SERVER_ERROR = 500

    /** Limit on attempts for one request, including those that targets did not start. */
    private const val MAX_ATTEMPTS = 4
    private val MIN_TIME_FOR_RETRY = 20.milliseconds

    /** Whether [open] may have another attempt after [result]. */
    fun mayRetryAfterResponse(open: OpenRequest, result: AttemptResult.Answered, now: Timestamp): Boolean =
        !result.isDelivered && result.status >= MIN_SERVER_ERROR && mayRunAgain(open, now)

    /** Whether [open] may have another attempt after one that its target did not start. */
    fun mayRetryNotStarted(open: OpenRequest, result: AttemptResult.NotStarted, now: Timestamp): Boolean =
        open.attempts < MAX_ATTEMPTS && hasTime(open, now) &&
            (result.reachedTarget || RequestTimers.mayConnectAgain(open, now))

    /** Whether [open] may have another attempt after one that may have run and ended without a complete response. */
    fun mayRetryBroken(open: OpenRequest, now: Timestamp): Boolean = mayRunAgain(open, now) &&
        (!open.hasResponseStarted || open.request.route.retryPolicy == RetryPolicy.RESUMABLE)

    private fun mayRunAgain(open: OpenRequest, now: Timestamp): Boolean {
        val route = open.request.route
        return route.retryPolicy != RetryPolicy.AT_MOST_ONCE && open.possibleRuns < route.maximumAttempts &&
            hasTime(open, now)
    }

    private fun hasTime(open: OpenRequest, now: Timestamp): Boolean = open.deadline - now > MIN_TIME_FOR_RETRY
}
