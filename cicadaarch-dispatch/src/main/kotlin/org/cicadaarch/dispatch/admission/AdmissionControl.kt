package org.cicadaarch.dispatch.admission

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.cicadaarch.dispatch.request.DispatchState
import org.cicadaarch.dispatch.request.OpenRequest
import org.cicadaarch.dispatch.request.OpenRequest.Phase.Queued
import org.cicadaarch.dispatch.request.RequestFailure.NotRun
import org.cicadaarch.dispatch.request.RequestTimers
import org.cicadaarch.dispatch.request.RetryAfter
import org.cicadaarch.model.Timestamp

/**
 * Decides at [now] in [state] whether a queued request is refused, and when its client may return.
 */
internal class AdmissionControl(private val state: DispatchState, private val now: Timestamp) {
    /** The refusal of [open], which has just been queued, or null if it may be sent in time. */
    fun refusalAtOnce(open: OpenRequest): NotRun? {
        val phase = open.phase as? Queued ?: return null
        val estimate = WaitEstimator(state, now).estimate(open) ?: return null
        val repeated = state.admission.refused.of(open.request, now)?.takeIf { now < it.returnAt }
        val maxWait = waitAllowed(open, phase) * MARGIN
        return when {
            repeated != null -> notRun(TOO_EARLY, retryAfter = repeated.returnAt - now, estimate)
            estimate.wait > maxWait -> notRun(NOT_IN_TIME, retryAfter(open, estimate), estimate)
            else -> null
        }
    }

    /** The refusal of [open], which has waited for as long as it may. */
    fun timedOut(open: OpenRequest): NotRun {
        val estimate = WaitEstimator(state, now).estimate(open)
        return notRun(NO_FREE_TARGET, retryAfter = estimate?.let { retryAfter(open, it) } ?: MIN_RETRY_AFTER, estimate)
    }

    private fun notRun(reason: String, retryAfter: Duration, estimate: WaitEstimate?) =
        NotRun(reason, retryAfter, estimate, isForCapacity = true)

    private fun waitAllowed(open: OpenRequest, phase: Queued): Duration =
        minOf(RequestTimers.queueTimeoutAt(open, phase), open.deadline) - now

    /** When what is queued and what was refused before has been served. */
    private fun retryAfter(open: OpenRequest, estimate: WaitEstimate): Duration {
        val returning = state.admission.refused.costAhead(open.request, now) / estimate.slotsInUse
        return RetryAfter.spread((estimate.wait + returning.seconds).coerceIn(RETRY_AFTERS), open.request)
    }

    companion object {
        /** When a client may return if there is no estimate. */
        val MIN_RETRY_AFTER = 150.milliseconds

        /** Clients that were refused in a long overload still come often enough to notice its end. */
        private val RETRY_AFTERS = MIN_RETRY_AFTER..2.seconds

        /** An estimate may be wrong by about so much, and who waits in vain loses less than who is refused in vain. */
        private const val MARGIN = 1.5

        private const val NOT_IN_TIME = "no-capacity-in-time"
        private const val TOO_EARLY = "returned-too-early"
        private const val NO_FREE_TARGET = "no-free-target"
    }
}
