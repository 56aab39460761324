package org.cicadaarch.admission

import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.cicadaarch.model.TargetId
import org.cicadaarch.model.Timestamp

/**
 * The load-mean aggregator's table of one group, with running totals. A count lapses when no owner repeats it.
 */
data class GroupLoadTable(
    private val counts: PersistentMap<TargetId, Entry> = persistentMapOf(),
    val total: Int = 0,
    val capacity: Int = 0,
) {
    /** The table with [count] of a target of [slots], reported at [now]. */
    fun plus(count: TargetCount, slots: Int, now: Timestamp): GroupLoadTable {
        val previous = counts[count.target]
        return GroupLoadTable(
            counts = counts.put(count.target, Entry(count, slots, now)),
            total = total + count.inFlight - (previous?.count?.inFlight ?: 0),
            capacity = capacity + slots - (previous?.slots ?: 0),
        )
    }

    /** The table without counts that nobody repeated lately. */
    fun withoutExpired(now: Timestamp): GroupLoadTable = counts.values
        .filter { now - it.receivedAt > COUNT_LIFETIME }
        .fold(this) { remaining, entry -> remaining.without(entry) }

    /** The targets with most free slots, at most three. */
    fun targetsWithFreeSlots(): List<TargetId> = counts.values
        .filter { it.freeSlots > 0 }
        .sortedByDescending { it.freeSlots }
        .take(FREE_TARGETS_REPORTED)
        .map { it.count.target }

    private fun without(entry: Entry) = GroupLoadTable(
        counts = counts.remove(entry.count.target),
        total = total - entry.count.inFlight,
        capacity = capacity - entry.slots,
    )

    /** One target's count, its capacity in [slots], and when the count came. */
    data class Entry(val count: TargetCount, val slots: Int, val receivedAt: Timestamp) {
        /** Slots that are neither taken nor waited for. */
        val freeSlots: Int get() = slots - count.inFlight - count.queued
    }

    private companion object {
        val COUNT_LIFETIME = 5.seconds
        const val FREE_TARGETS_REPORTED = 3
    }
}
