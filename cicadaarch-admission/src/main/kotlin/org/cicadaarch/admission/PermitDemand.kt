package org.cicadaarch.admission

import kotlin.time.Duration
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.cicadaarch.model.AccountId
import org.cicadaarch.model.ChatId
import org.cicadaarch.model.Priority

/**
 * What an admission owner weighs: whose request it is and how much work it brings.
 *
 * [timeAllowed] is what remains until the first byte is due. [promptTokens] is the whole prompt; [home] tells that the
 * target is the first in the chat's order, and [returning] that the chat has earlier turns. [ranChat] tells that an
 * owner's hint names the target as the one that ran the chat last. [spills] counts the owners that sent the attempt
 * on.
 */
@Serializable
data class PermitDemand(
    @SerialName("a") val account: AccountId,
    @SerialName("c") val chat: ChatId?,
    @SerialName("p") val priority: Priority,
    @SerialName("t") val timeAllowed: Duration,
    @SerialName("i") val promptTokens: Int,
    @SerialName("o") val outputTokens: Int,
    @SerialName("h") val home: Boolean = true,
    @SerialName("r") val returning: Boolean = false,
    @SerialName("s") val spills: Int = 0,
    @SerialName("k") val ranChat: Boolean = false,
)
