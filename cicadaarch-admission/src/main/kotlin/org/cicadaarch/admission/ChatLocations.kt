package org.cicadaarch.admission

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.cicadaarch.model.TargetId

/**
 * Where chats that spilled from their home ran last; the chats placed longest ago are dropped beyond a limit.
 */
data class ChatLocations(
    private val locations: PersistentMap<ChatKey, Location> = persistentMapOf(),
    private val chatsByAge: PersistentMap<Long, ChatKey> = persistentMapOf(),
    private val oldestSequence: Long = 0,
    private val nextSequence: Long = 0,
) {
    /** The number of remembered chats. */
    val size: Int get() = locations.size

    /** The target that ran [chat] last, or null when it is unknown or its home. */
    fun find(chat: ChatKey): TargetId? = locations[chat]?.target

    /** Remembers that [chat] ran on [target]; drops the oldest chats beyond [limit]. */
    fun put(chat: ChatKey, target: TargetId, limit: Int): ChatLocations {
        val others = remove(chat)
        return others.copy(
            locations = others.locations.put(chat, Location(target, nextSequence)),
            chatsByAge = others.chatsByAge.put(nextSequence, chat),
            nextSequence = nextSequence + 1,
        ).trimmedTo(limit)
    }

    /** Drops [chat], for example when its home has run it again. */
    fun remove(chat: ChatKey): ChatLocations {
        val location = locations[chat] ?: return this
        return copy(locations = locations.remove(chat), chatsByAge = chatsByAge.remove(location.sequence))
    }

    private fun trimmedTo(limit: Int): ChatLocations {
        var result = this
        while (result.locations.size > limit) {
            val chat = result.chatsByAge[result.oldestSequence]
            result = (if (chat == null) result else result.remove(chat))
                .copy(oldestSequence = result.oldestSequence + 1)
        }
        return result
    }

    /** A remembered target and the position in the order of placing. */
    data class Location(val target: TargetId, val sequence: Long)
}
