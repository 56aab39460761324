package org.cicadaarch.admission

import kotlin.time.Duration
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.cicadaarch.model.AccountId
import org.cicadaarch.model.ChatId
import org.cicadaarch.model.Priority

/**
 * What an admission owner considers when it decides on an attempt: the client account and the expected work.
 *
 * @property timeAllowed the time left until the first byte of the response is due.
 * @property promptTokens the length of the whole prompt, including the part that may be cached.
 * @property isHome whether the target is the first in the chat's order of targets.
 * @property isReturning whether the chat has earlier turns.
 * @property redirects the number of owners that redirected the attempt.
 * @property ranChat whether an owner named the target as the one that ran the chat last.
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
