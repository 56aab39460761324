package org.cicadaarch.admission

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.cicadaarch.model.TargetId

/**
 * Where chats that spilled from their home ran last; the chats placed longest ago are dropped beyond a limit.
 */
data class SpillMemory(
    private val places: PersistentMap<ChatKey, Place> = persistentMapOf(),
    private val order: PersistentMap<Long, ChatKey> = persistentMapOf(),
    private val oldest: Long = 0,
    private val next: Long = 0,
) {
    /** The number of remembered chats. */
    val size: Int get() = places.size

    /** The target that ran [chat] last, or null when it is unknown or its home. */
    fun find(chat: ChatKey): TargetId? = places[chat]?.target

    /** Remembers that [chat] ran on [target]; drops the oldest chats beyond [limit]. */
    fun remember(chat: ChatKey, target: TargetId, limit: Int): SpillMemory {
        val kept = forget(chat)
        return kept.copy(
            places = kept.places.put(chat, Place(target, next)),
            order = kept.order.put(next, chat),
            next = next + 1,
        ).limitedTo(limit)
    }

    /** Drops [chat], for example when its home has run it again. */
    fun forget(chat: ChatKey): SpillMemory {
        val place = places[chat] ?: return this
        return copy(places = places.remove(chat), order = order.remove(place.sequence))
    }

    private fun limitedTo(limit: Int): SpillMemory {
        var result = this
        while (result.places.size > limit) {
            val chat = result.order[result.oldest]
            result = (if (chat == null) result else result.forget(chat)).copy(oldest = result.oldest + 1)
        }
        return result
    }

    /** A remembered target and the position in the order of placing. */
    data class Place(val target: TargetId, val sequence: Long)
}
