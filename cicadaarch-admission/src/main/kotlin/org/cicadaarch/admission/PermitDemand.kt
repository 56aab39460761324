package org.cicadaarch.admission

import kotlin.time.Duration
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
    val account: AccountId,
    val chat: ChatId?,
    val priority: Priority,
    val timeAllowed: Duration,
    val promptTokens: Int,
    val outputTokens: Int,
    val home: Boolean = true,
    val returning: Boolean = false,
    val spills: Int = 0,
    val ranChat: Boolean = false,
)
