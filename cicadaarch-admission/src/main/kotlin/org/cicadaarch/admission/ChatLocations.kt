package org.cicadaarch.admission

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.cicadaarch.model.TargetId

/**
 * The targets that last ran the chats which their home target redirected. When there are more chats than the limit, the
 * ones recorded longest ago are dropped.
 */
data class ChatLocations(
    private val locations: PersistentMap<ChatKey, Location> = persistentMapOf(),
    private val chatsByAge: PersistentMap<Long, ChatKey> = persistentMapOf(),
    private val oldestSequence: Long = 0,
    private val nextSequence: Long = 0,
) {
    /** The number of recorded chats. */
    val size: Int get() = locations.size

    /** The target that ran [chat] last, or null when that is unknown or its home. */
    fun find(chat: ChatKey): TargetId? = locations[chat]?.target

    /** Records that [chat] ran on [target], and drops the oldest chats beyond [limit]. */
    fun put(chat: ChatKey, target: TargetId, limit: Int): ChatLocations {
        val others = remove(chat)
        return others.copy(
            locations = others.locations.put(chat, Location(target, nextSequence)),
            chatsByAge = others.chatsByAge.put(nextSequence, chat),
            nextSequence = nextSequence + 1,
        ).trimmedTo(limit)
    }

    /** Removes [chat], for example because its home has run it again. */
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

    /** A recorded target and the position in the order of recording. */
    data class Location(val target: TargetId, val sequence: Long)
}
