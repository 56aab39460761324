package org.cicadaarch.forwarding.backlog

/**
 * A client connection with a response that its client may read slowly.
 */
internal interface BacklogOwner {
    /** Bytes of responses that the client has not taken yet. */
    val unsentBytes: Long

    /** The id of the last request, if it has one. */
    val requestId: String?

    /** Closes the connection without completing its response, and cancels its request. */
    fun abortUnread()
}
