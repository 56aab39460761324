package org.cicadaarch.forwarding.peer

import org.cicadaarch.model.RouterAddress

/**
 * The other routers that this one has heard of, the latest last. [seeds] stay, others leave after some failures in a
 * row or when more recent ones take their place.
 */
internal class PeerDirectory(private val self: RouterAddress, private val seeds: List<RouterAddress>) {
    private val failures = LinkedHashMap<RouterAddress, Int>()

    init {
        seeds.forEach { heardOf(it) }
    }

    /** All known routers but this one. */
    val peers: List<RouterAddress> get() = failures.keys.toList()

    /** [peer] is said to exist. */
    fun heardOf(peer: RouterAddress) {
        if (peer == self || peer in failures) return
        failures[peer] = 0
        if (failures.size > MOST_PEERS) failures.keys.firstOrNull { it !in seeds }?.let { failures.remove(it) }
    }

    /** [peer] answered. */
    fun answered(peer: RouterAddress) {
        if (peer in failures) failures[peer] = 0
    }

    /** [peer] did not answer. */
    fun failed(peer: RouterAddress) {
        val count = (failures[peer] ?: return) + 1
        failures[peer] = count
        if (count >= MOST_FAILURES && peer !in seeds) failures.remove(peer)
    }

    private companion object {
        /** Enough to find routers that the store serves, whatever the size of the fleet. */
        const val MOST_PEERS = 24
        const val MOST_FAILURES = 3
    }
}
