package org.cicadaarch.dispatch.watch

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.mutate
import kotlinx.collections.immutable.persistentMapOf

/**
 * The revisions at which values were last written and removed, to tell another router just what it lacks.
 *
 * Removals are complete after the revision [completeSince]; older ones may be unknown.
 */
data class ChangeLog(
    private val writtenAt: PersistentMap<String, Long> = persistentMapOf(),
    private val removedAt: PersistentMap<String, Long> = persistentMapOf(),
    val completeSince: Long = 0,
) {
    /** The keys written after [revision]. */
    fun writtenAfter(revision: Long): Set<String> = writtenAt.filterValues { it > revision }.keys

    /** The keys removed after [revision]. */
    fun removedAfter(revision: Long): Set<String> = removedAt.filterValues { it > revision }.keys

    /** The log after [key] was written at [revision]. */
    fun written(key: String, revision: Long): ChangeLog =
        copy(writtenAt = writtenAt.put(key, revision), removedAt = removedAt.remove(key))

    /** The log after [key] was removed at [revision]; the oldest removal is forgotten when there are too many. */
    fun removed(key: String, revision: Long): ChangeLog {
        val removed = removedAt.put(key, revision)
        val next = copy(writtenAt = writtenAt.remove(key), removedAt = removed)
        if (removed.size <= MOST_REMOVALS) return next
        val oldest = removed.minBy { it.value }
        return next.copy(
            removedAt = removed.remove(oldest.key),
            completeSince = maxOf(completeSince, oldest.value),
        )
    }

    companion object {
        private const val MOST_REMOVALS = 512

        /** The log of a router that has just read [keys] at [revision] and knows nothing of what was before. */
        fun startingWith(keys: Set<String>, revision: Long): ChangeLog = ChangeLog(
            writtenAt = persistentMapOf<String, Long>().mutate { map -> keys.forEach { map[it] = revision } },
            completeSince = revision,
        )
    }
}
