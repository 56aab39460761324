package org.cicadaarch.admission

import org.cicadaarch.model.AccountId
import org.cicadaarch.model.ChatId

/**
 * Identifies a chat across all client accounts.
 */
data class ChatKey(val account: AccountId, val chat: ChatId)
