package org.cicadaarch.forwarding.peer

import kotlin.time.Duration.Companion.seconds
import org.cicadaarch.model.RouterAddress

/**
 * The request with which a router polls another one. Its parameters are the address of the sender, the time in
 * milliseconds that the response may wait for an update, the revision that the sender knows of each store prefix, and
 * the scope of the observations that it asks for, if it does. The body is its own report ([ReportMessage]), if any.
 */
internal object PeerQuery {
    const val PATH = "/fleet"
    const val FROM = "from"
    const val WAIT = "wait"
    const val OBSERVATIONS = "observations"

    /** Longest time that a response may wait for an update. */
    val MAX_WAIT = 1.seconds

    /** Parses an address of the form host:port, or returns null if [text] is not of that form. */
    fun parseAddress(text: String): RouterAddress? {
        val port = text.substringAfterLast(':').toIntOrNull() ?: return null
        return RouterAddress(text.substringBeforeLast(':'), port)
    }
}
