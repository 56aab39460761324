package org.cicadaarch.admission

import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.cicadaarch.model.TargetId
import org.cicadaarch.model.Timestamp

/**
 * The load aggregator's table of one group, with running totals. A count expires when its owner stops repeating it.
 */
data class GroupLoadTable(
    private val counts: PersistentMap<TargetId, Entry> = persistentMapOf(),
    val total: Int = 0,
    val capacity: Int = 0,
) {
    /** Returns the table with [count] of a target that has [slots] slots, received at [now]. */
    fun plus(count: TargetCount, slots: Int, now: Timestamp): GroupLoadTable {
        val previous = counts[count.target]
        return GroupLoadTable(
            counts = counts.put(count.target, Entry(count, slots, now)),
            total = total + count.inFlight - (previous?.count?.inFlight ?: 0),
            capacity = capacity + slots - (previous?.slots ?: 0),
        )
    }

    /** Returns the table without counts that were not repeated within [COUNT_LIFETIME]. */
    fun withoutExpired(now: Timestamp): GroupLoadTable = counts.values
        .filter { now - it.receivedAt > COUNT_LIFETIME }
        .fold(this) { remaining, entry -> remaining.without(entry) }

    /** The targets with the most free slots, at most [FREE_TARGETS_REPORTED]. */
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

    /** The last count of a target, the target's capacity in [slots], and the time at which the count was received. */
    data class Entry(val count: TargetCount, val slots: Int, val receivedAt: Timestamp) {
        /** The slots left when all queued requests are served. */
        val freeSlots: Int get() = slots - count.inFlight - count.queued
    }

    private companion object {
        val COUNT_LIFETIME = 5.seconds
        const val FREE_TARGETS_REPORTED = 3
    }
}
