package org.cicadaarch.experiment.policy

/**
 * Prompt prefixes by chat, limited to [capacity] tokens; the least recently used chat is dropped first.
 */
internal class PrefixCache(private val capacity: Long) {
    private val tokens = LinkedHashMap<Int, Int>(16, 0.75f, true)
    private var total = 0L

    /** The cached tokens of [chat]; marks them as used. */
    fun find(chat: Int): Int = tokens[chat] ?: 0

    fun clear() {
        tokens.clear()
        total = 0
    }

    fun store(chat: Int, count: Int) {
        total += count - (tokens.put(chat, count) ?: 0)
        val oldest = tokens.entries.iterator()
        while (total > capacity && oldest.hasNext()) {
            total -= oldest.next().value
            oldest.remove()
        }
    }
}
