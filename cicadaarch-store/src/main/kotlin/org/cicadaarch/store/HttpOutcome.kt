package org.cicadaarch.store

/**
 * How one HTTP exchange ended.
 */
sealed class HttpOutcome {
    /** A whole answer came with [status] and [body]. */
    data class Answered(val status: Int, val body: String) : HttpOutcome()

    /** No byte of the request was written, for [reason]. */
    data class NotSent(val reason: String) : HttpOutcome()

    /** The request was written and the connection broke, for [reason]. */
    data class Broken(val reason: String) : HttpOutcome()

    /** The request was written and no whole answer came in time. */
    data object TimedOut : HttpOutcome()
}
