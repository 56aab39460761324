package org.cicadaarch.forwarding.backlog

/**
 * Bounds the unsent bytes of all responses together to [maxBytes].
 */
internal class BacklogLimit(val maxBytes: Long) {
    /**
     * Returns the responses to abort so that the others are within the bound: those that have been unread for longest,
     * and of equal ones the largest first.
     */
    fun <K> responsesToAbort(backlogs: Map<K, ResponseBacklog>): List<K> {
        var excessBytes = backlogs.values.sumOf { it.unsentBytes } - maxBytes
        if (excessBytes <= 0) return emptyList()
        val aborted = mutableListOf<K>()
        for ((key, backlog) in backlogs.entries.sortedWith(LONGEST_UNREAD_FIRST)) {
            if (excessBytes <= 0) break
            aborted += key
            excessBytes -= backlog.unsentBytes
        }
        return aborted
    }

    private companion object {
        val LONGEST_UNREAD_FIRST: Comparator<Map.Entry<*, ResponseBacklog>> =
            compareBy<Map.Entry<*, ResponseBacklog>> { it.value.unreadSince }.thenByDescending { it.value.unsentBytes }
    }
}
