package org.cicadaarch.dispatch.routing

import kotlin.time.Duration

/**
 * What a caller may send: sizes in bytes; how long the head of a request may take; how long a connection may be idle.
 */
data class ClientLimits(
    val headerBytes: Int,
    val bodyBytes: Int,
    val headerTimeout: Duration,
    val idleTimeout: Duration,
)
