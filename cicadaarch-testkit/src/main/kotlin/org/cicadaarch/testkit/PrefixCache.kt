package org.cicadaarch.testkit

/**
 * A prefix cache bounded by [capacity] tokens that evicts the least recently used prefix, extensions before parents.
 */
internal class PrefixCache(
    private val capacity: Int,
    private val onChange: (kind: CacheEvent.Kind, prefix: CachePrefix) -> Unit,
) {
    private val entries = LinkedHashMap<String, CachePrefix>(INITIAL_CAPACITY, LOAD_FACTOR, true)

    /** The tokens held. */
    var tokens = 0
        private set

    /** The prefixes held, least recently used first. */
    val prefixes: List<CachePrefix> get() = entries.values.toList()

    /** The tokens of the longest held prefix among [chain], a chat's prefixes from the shortest on. */
    fun cachedTokens(chain: List<CachePrefix>): Int = chain.takeWhile { it.hash in entries }.sumOf { it.tokens }

    /** Stores [chain], a chat's prefixes from the shortest on, as most recently used. */
    fun store(chain: List<CachePrefix>) {
        chain.forEach { add(it) }
        // Parents are touched last, so that an extension is evicted before them.
        chain.asReversed().forEach { entries[it.hash] }
        evict()
    }

    private fun add(prefix: CachePrefix) {
        if (entries.put(prefix.hash, prefix) != null) return
        tokens += prefix.tokens
        onChange(CacheEvent.Kind.STORED, prefix)
    }

    private fun evict() {
        val oldest = entries.values.iterator()
        while (tokens > capacity && oldest.hasNext()) {
            val prefix = oldest.next()
            oldest.remove()
            tokens -= prefix.tokens
            onChange(CacheEvent.Kind.EVICTED, prefix)
        }
    }

    private companion object {
        const val INITIAL_CAPACITY = 1024
        const val LOAD_FACTOR = 0.75f
    }
}
