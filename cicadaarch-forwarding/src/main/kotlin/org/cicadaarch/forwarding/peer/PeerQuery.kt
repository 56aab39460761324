package org.cicadaarch.forwarding.peer

import kotlin.time.Duration.Companion.seconds
import org.cicadaarch.model.RouterAddress

/**
 * The request with which a router polls another one. Its parameters are the address of the sender, the time in
 * milliseconds that the response may wait for an update, the revision and the era that the sender knows of each store
 * prefix, the store's era, and the scope of the observations that it asks for, if it does. The body is its own report
 * ([ReportMessage]), if any.
 */
internal object PeerQuery {
    const val PATH = "/fleet"
    const val FROM = "from"
    const val WAIT = "wait"
    const val OBSERVATIONS = "observations"
    const val STORE_ERA = "storeEra"
    private const val ERA_SUFFIX = ":era"

    /** Longest time that a response may wait for an update. */
    val MAX_WAIT = 1.seconds

    /** The name of the parameter with the era of the values below [prefix]. */
    fun eraOf(prefix: String): String = prefix + ERA_SUFFIX

    /** Parses an address of the form host:port, or returns null if [text] is not of that form. */
    fun parseAddress(text: String): RouterAddress? {
        val port = text.substringAfterLast(':').toIntOrNull() ?: return null
        return RouterAddress(text.substringBeforeLast(':'), port)
    }
}
