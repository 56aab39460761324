package org.cicadaarch.store

/**
 * How an HTTP exchange ended.
 */
sealed class HttpOutcome {
    /** A complete response with [status] and [body] arrived. [headers] holds its header fields by lowercase name. */
    data class Answered(val status: Int, val body: String, val headers: Map<String, String> = emptyMap()) :
        HttpOutcome()

    /** The connection could not be established, for [reason], so no byte of the request was sent. */
    data class NotSent(val reason: String) : HttpOutcome()

    /** The exchange failed, for [reason], after the request may have been sent. */
    data class Broken(val reason: String) : HttpOutcome()

    /** No complete response arrived before the timeout; the request may have been sent. */
    data object TimedOut : HttpOutcome()
}
