package org.cicadaarch.forwarding.peer

import kotlinx.serialization.Serializable

/**
 * What a router tells another: the [routers] that it knows, as host:port, and the values of the store that are newer
 * there.
 */
@Serializable
internal data class PeerAnswer(val routers: List<String>, val newer: List<KnownValues>)
