package org.cicadaarch.model

import kotlinx.serialization.Serializable

/**
 * The address on which a router listens for other routers: TCP for messages and UDP for probes, on the same [port].
 */
@Serializable
data class RouterAddress(val host: String, val port: Int) {
    override fun toString(): String = "$host:$port"
}
