package org.cicadaarch.model

import kotlinx.serialization.Serializable

/**
 * Identifies a chat within a client account; chosen by the client.
 */
@JvmInline
@Serializable
value class ChatId(val value: String) : Comparable<ChatId> {
    override fun compareTo(other: ChatId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}
