package org.cicadaarch.dispatch.routing

import kotlin.time.Duration

/**
 * Limits on clients: the sizes of a request's headers and body in bytes, the time in which the headers must arrive, and
 * the time for which a connection may be idle.
 */
data class ClientLimits(
    val headerBytes: Int,
    val bodyBytes: Int,
    val headerTimeout: Duration,
    val idleTimeout: Duration,
)
