package org.cicadaarch.dispatch.request

import kotlin.time.Duration
import org.cicadaarch.dispatch.admission.WaitEstimate

/**
 * Why a request ended without a complete response of a target. [reason] is a short text for logs and metrics.
 */
sealed class RequestFailure {
    abstract val reason: String

    /**
     * The request did not run and will not run; the client may retry it after [retryAfter]. [estimate] is the wait by
     * which that was decided, if any. With [isForCapacity], targets had no room for it.
     */
    data class NotRun(
        override val reason: String,
        val retryAfter: Duration,
        val estimate: WaitEstimate? = null,
        val isForCapacity: Boolean = false,
    ) : RequestFailure()

    /** The request may have run, but its response is lost. */
    data class MayHaveRun(override val reason: String) : RequestFailure()

    /** The time allowed for the request is over; it may have run. */
    data class TimedOut(override val reason: String) : RequestFailure()
}
