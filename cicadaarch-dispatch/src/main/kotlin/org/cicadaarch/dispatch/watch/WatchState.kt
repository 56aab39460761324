package org.cicadaarch.dispatch.watch

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.cicadaarch.model.Timestamp

/**
 * The known [values] below a prefix and what comes next.
 *
 * [missing] are keys that vanished around an outage of the store, with the moment at which they are taken as gone.
 * [failures] counts the calls that failed since the last good one, the first of them at [failingSince].
 */
data class WatchState(
    val phase: Phase = Phase.Idle,
    val callId: Long = 0,
    val values: PersistentMap<String, String> = persistentMapOf(),
    val missing: PersistentMap<String, Timestamp> = persistentMapOf(),
    val revision: Long = 0,
    val failures: Int = 0,
    val failingSince: Timestamp? = null,
    val regainedAt: Timestamp? = null,
    val log: ChangeLog = ChangeLog(),
) {
    /** Whether the store answers this router, which follows it itself. */
    val isWatchingStore: Boolean get() = revision > 0 && failures == 0 && phase !is Phase.Delegated

    /** What a router at [since] lacks, or null when it lacks nothing. */
    fun updateSince(since: Long, now: Timestamp): PrefixUpdate? {
        if (revision <= since) return null
        val isComplete = since >= log.completeSince && since > 0
        val present = values - missing.keys
        val written = log.writtenAfter(since)
        return PrefixUpdate(
            baseRevision = since.takeIf { isComplete },
            revision = revision,
            values = if (isComplete) present.filterKeys { it in written } else present,
            removed = if (isComplete) log.removedAfter(since) - missing.keys else emptySet(),
            expiring = missing.mapValues { (_, goneAt) -> goneAt - now },
        )
    }

    /** What the follower waits for. */
    sealed class Phase {
        /** Nothing yet. */
        data object Idle : Phase()

        /** What other routers tell. */
        data object Delegated : Phase()

        /** A page of a full read; [read] holds the pages before, the first of which was read at [revision]. */
        data class Reading(val read: Map<String, String>, val revision: Long?) : Phase()

        /** The next change. */
        data object Watching : Phase()

        /** The moment [until], to call again: to read everything if [isReading], else to watch. */
        data class Pausing(val until: Timestamp, val isReading: Boolean) : Phase()
    }
}
