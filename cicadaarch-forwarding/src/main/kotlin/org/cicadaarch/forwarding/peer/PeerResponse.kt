package org.cicadaarch.forwarding.peer

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * A router's response to a poll of another one: the [routers] that it had contact with lately, as host:port; the
 * [updates] that the other one lacks; whether it watches the store itself and the store responds; and the [storeEra]
 * that it knows. To a poll that asks for them, it states the [observations], and for how many milliseconds it held the
 * poll.
 */
@Serializable
internal data class PeerResponse(
    val routers: List<String>,
    @SerialName("newer") val updates: List<PrefixUpdateMessage>,
    @SerialName("isServed") val isWatchingStore: Boolean,
    val observations: SummaryMessage? = null,
    val heldMillis: Long? = null,
    val storeEra: Long? = null,
)
