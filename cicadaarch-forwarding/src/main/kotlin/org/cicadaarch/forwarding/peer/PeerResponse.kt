package org.cicadaarch.forwarding.peer

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * What a router tells another: the [routers] that it heard from lately, as host:port, what it knows newer of the store,
 * and whether the store serves it.
 */
@Serializable
internal data class PeerResponse(
    val routers: List<String>,
    @SerialName("newer") val updates: List<PrefixUpdateMessage>,
    @SerialName("isServed") val isWatchingStore: Boolean,
)
