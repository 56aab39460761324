package org.cicadaarch.dispatch.watch

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.cicadaarch.model.CallBudget
import org.cicadaarch.model.Timestamp
import org.cicadaarch.model.store.StoreCommand
import org.cicadaarch.model.store.StoreVersion

/**
 * A copy of the values below a store prefix, and the progress of the watch that keeps it up to date.
 *
 * [expiring] holds the keys that disappeared around a store outage, each with the time at which its value is removed.
 * The other values are those that the store held at [version], and [changeLog] leads there from each earlier version
 * that it covers: a router that applies [updateSince] has the same ones. The store is in [era], as far as this router
 * knows; if the copy is of an earlier one, its values are in use until those of the new era have been read.
 * [failures] counts the calls that failed since the last successful one; they have failed since [failingSince].
 * [recoveredAt] is when the last outage ended, null if there was none. [isConfirmed] tells whether the store has
 * answered since this router began to watch, or to watch again. [confirmedAt] is when the copy was last known to be up
 * to date, null if that is not needed.
 */
data class WatchState(
    val phase: Phase = Phase.Idle,
    val callId: Long = 0,
    val values: PersistentMap<String, String> = persistentMapOf(),
    val expiring: PersistentMap<String, Timestamp> = persistentMapOf(),
    val version: StoreVersion = StoreVersion.NONE,
    val era: Long = 0,
    val failures: Int = 0,
    val failingSince: Timestamp? = null,
    val recoveredAt: Timestamp? = null,
    val isConfirmed: Boolean = false,
    val confirmedAt: Timestamp? = null,
    val changeLog: ChangeLog = ChangeLog(),
    val callBudget: CallBudget = CallBudget(),
) {
    /** Whether this router watches the store itself and the store has answered its last call. */
    val isWatchingStore: Boolean get() = version.isRead && isConfirmed && failures == 0 && phase !is Phase.Delegated

    /**
     * Whether this copy has news for a router whose copy is at [since]. One of an earlier era than the store's has none
     * for anyone but routers that have read nothing: others ignore it as soon as they know of the later era.
     */
    fun hasUpdateSince(since: StoreVersion): Boolean = version > since && (version.era == era || !since.isRead)

    /**
     * The update for a router whose copy is at [since], or null if this one has no news for it. It is a full snapshot
     * if the change log does not reach back to [since].
     */
    fun updateSince(since: StoreVersion, now: Timestamp): PrefixUpdate? {
        if (!hasUpdateSince(since)) return null
        val isDelta = since.isRead && since.era == version.era && since >= changeLog.completeSince
        val present = values - expiring.keys
        val written = changeLog.writtenAfter(since)
        return PrefixUpdate(
            baseVersion = since.takeIf { isDelta },
            version = version,
            values = if (isDelta) present.filterKeys { it in written } else present,
            removed = if (isDelta) changeLog.removedAfter(since) - expiring.keys else emptySet(),
            expiring = expiring.mapValues { (_, expiresAt) -> expiresAt - now },
        )
    }

    /** What the watch is waiting for. */
    sealed class Phase {
        /** The watch has not started. */
        data object Idle : Phase()

        /** Waits for updates from other routers and makes no store calls. */
        data object Delegated : Phase()

        /**
         * Waits for a page of a full read. [valuesRead] holds the values of the earlier pages; [version] is that of
         * the first page, null before it arrives. When the read began, this router's copy was at [copyVersion].
         */
        data class Reading(
            val valuesRead: Map<String, String>,
            val version: StoreVersion?,
            val copyVersion: StoreVersion,
        ) : Phase()

        /** Waits for the store to report a change. */
        data object Watching : Phase()

        /** Waits until [until], when the call budget allows for [command], then goes on to [next]. */
        data class Deferred(val until: Timestamp, val next: Phase, val command: StoreCommand) : Phase()

        /** Waits until [until], then starts a full read if [needsFullRead], else watches again. */
        data class Pausing(val until: Timestamp, val needsFullRead: Boolean) : Phase()
    }
}
