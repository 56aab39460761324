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
 * [timeAllowed] is what remains until the first byte is due. [promptTokens] is the whole prompt; [isHome] tells that
 * the target is the first in the chat's order, and [isReturning] that the chat has earlier turns. [ranChat] tells that
 * an owner's hint names the target as the one that ran the chat last. [redirects] counts the owners that redirected
 * the attempt.
 */
@Serializable
data class PermitDemand(
    @SerialName("a") val account: AccountId,
    @SerialName("c") val chat: ChatId?,
    @SerialName("p") val priority: Priority,
    @SerialName("t") val timeAllowed: Duration,
    @SerialName("i") val promptTokens: Int,
    @SerialName("o") val outputTokens: Int,
    @SerialName("h") val isHome: Boolean = true,
    @SerialName("r") val isReturning: Boolean = false,
    @SerialName("s") val redirects: Int = 0,
    @SerialName("k") val ranChat: Boolean = false,
)
