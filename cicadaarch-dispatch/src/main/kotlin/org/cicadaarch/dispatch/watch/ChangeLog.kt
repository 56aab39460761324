package org.cicadaarch.dispatch.watch

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.mutate
import kotlinx.collections.immutable.persistentMapOf
import org.cicadaarch.model.store.StoreVersion

/**
 * The version of the last write or removal of each key, used to send other routers only the changes they lack.
 *
 * All removals after the version [completeSince] are recorded; earlier ones may be missing. A key that is kept for a
 * while after it disappeared from the store counts as removed. All versions are of one era, that of the copy.
 */
data class ChangeLog(
    private val writtenAt: PersistentMap<String, StoreVersion> = persistentMapOf(),
    private val removedAt: PersistentMap<String, StoreVersion> = persistentMapOf(),
    val completeSince: StoreVersion = StoreVersion.NONE,
) {
    /** The keys written after [version]. */
    fun writtenAfter(version: StoreVersion): Set<String> = writtenAt.filterValues { it > version }.keys

    /** The keys removed after [version]. */
    fun removedAfter(version: StoreVersion): Set<String> = removedAt.filterValues { it > version }.keys

    /** A copy that records that [key] was written at [version]. */
    fun withWrite(key: String, version: StoreVersion): ChangeLog =
        copy(writtenAt = writtenAt.put(key, version), removedAt = removedAt.remove(key))

    /** A copy that records that [key] was removed at [version]; beyond [MAX_REMOVALS] the oldest one is dropped. */
    fun withRemoval(key: String, version: StoreVersion): ChangeLog {
        val removed = removedAt.put(key, version)
        val next = copy(writtenAt = writtenAt.remove(key), removedAt = removed)
        if (removed.size <= MAX_REMOVALS) return next
        val oldest = removed.minBy { it.value }
        return next.copy(
            removedAt = removed.remove(oldest.key),
            completeSince = maxOf(completeSince, oldest.value),
        )
    }

    /**
     * A copy that records what [update] reports. Expiring keys are recorded as removed, which they are in the store:
     * this router drops them by its own clock, and must be able to tell routers that still have them.
     */
    fun withPeerUpdate(update: PrefixUpdate): ChangeLog {
        if (update.baseVersion == null) return ofFullRead(update.values.keys, update.version)
        val written = update.values.keys.fold(this) { log, key -> log.withWrite(key, update.version) }
        val removed = update.removed + update.expiring.keys
        return removed.fold(written) { log, key -> log.withRemoval(key, update.version) }
    }

    companion object {
        private const val MAX_REMOVALS = 512

        /** The log after a full read of [keys] at [version], without any record of earlier removals. */
        fun ofFullRead(keys: Set<String>, version: StoreVersion): ChangeLog = ChangeLog(
            writtenAt = persistentMapOf<String, StoreVersion>().mutate { map -> keys.forEach { map[it] = version } },
            completeSince = version,
        )
    }
}
