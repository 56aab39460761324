package org.cicadaarch.forwarding.peer

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * A router's response to a poll of another one: the [routers] that it had contact with lately, as host:port; the
 * [updates] that the other one lacks; and whether it watches the store itself and the store responds.
 */
@Serializable
internal data class PeerResponse(
    val routers: List<String>,
    @SerialName("newer") val updates: List<PrefixUpdateMessage>,
    @SerialName("isServed") val isWatchingStore: Boolean,
)
