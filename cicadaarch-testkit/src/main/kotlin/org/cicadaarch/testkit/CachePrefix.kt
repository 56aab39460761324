package org.cicadaarch.testkit

import kotlinx.serialization.Serializable

/**
 * A chat's messages up to one of them. [hash] names the whole prefix; [tokens] are those of its last message alone.
 */
@Serializable
internal data class CachePrefix(val hash: String, val tokens: Int) {
    companion object {
        private const val CHARACTERS_PER_TOKEN = 4
        private const val HASH_DIGITS = 16

        /** The prefixes of [messages], shortest first. */
        fun of(messages: List<ChatMessage>): List<CachePrefix> =
            messages.runningFold(CachePrefix(hash = "", tokens = 0)) { prefix, message -> prefix.then(message) }.drop(1)
    }

    /** The prefix that [message] makes of this one. */
    fun then(message: ChatMessage): CachePrefix = CachePrefix(
        hash = BodyHash.of("$hash/${message.role}/${message.text}").take(HASH_DIGITS),
        tokens = (message.text.length + CHARACTERS_PER_TOKEN - 1) / CHARACTERS_PER_TOKEN,
    )
}
