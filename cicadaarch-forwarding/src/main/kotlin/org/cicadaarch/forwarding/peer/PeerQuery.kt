package org.cicadaarch.forwarding.peer

import kotlin.time.Duration.Companion.seconds
import org.cicadaarch.model.RouterAddress

/**
 * How routers ask each other: a path, the asker's address, how many milliseconds it waits for something newer, and the
 * revision that it knows for each prefix of the store.
 */
internal object PeerQuery {
    const val PATH = "/fleet"
    const val FROM = "from"
    const val WAIT = "wait"

    /** The longest time that a question waits for its answer. */
    val MAX_WAIT = 1.seconds

    /** The address in [text], host:port, or null when it is none. */
    fun parseAddress(text: String): RouterAddress? {
        val port = text.substringAfterLast(':').toIntOrNull() ?: return null
        return RouterAddress(text.substringBeforeLast(':'), port)
    }
}
