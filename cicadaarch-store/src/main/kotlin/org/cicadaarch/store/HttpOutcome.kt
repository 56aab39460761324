package org.cicadaarch.store

/**
 * How an HTTP exchange ended.
 */
sealed class HttpOutcome {
    /** A complete response with [status] and [body] arrived. */
    data class Answered(val status: Int, val body: String) : HttpOutcome()

    /** The connection could not be established, for [reason], so no byte of the request was sent. */
    data class NotSent(val reason: String) : HttpOutcome()

    /** The exchange failed, for [reason], after the request may have been sent. */
    data class Broken(val reason: String) : HttpOutcome()

    /** No complete response arrived before the timeout; the request may have been sent. */
    data object TimedOut : HttpOutcome()
}
