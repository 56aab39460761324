package org.cicadaarch.dispatch.request

import kotlin.time.Duration

/**
 * How a request ends that no target answered, for [reason].
 */
sealed class RequestFailure {
    abstract val reason: String

    /** The request did not run and never will; the caller may come back [retryAfter] later. */
    data class NotRun(override val reason: String, val retryAfter: Duration) : RequestFailure()

    /** The request may have run and its answer is lost. */
    data class MayHaveRun(override val reason: String) : RequestFailure()

    /** The time of the request is over; it may have run. */
    data class TimedOut(override val reason: String) : RequestFailure()
}
