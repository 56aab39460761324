package org.cicadaarch.admission

import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.cicadaarch.model.TargetId
import org.cicadaarch.model.Timestamp

/**
 * The load-mean aggregator's table of one group, with running totals. A count lapses when no owner repeats it.
 */
data class GroupLoads(
    private val counts: PersistentMap<TargetId, Entry> = persistentMapOf(),
    val total: Int = 0,
    val capacity: Int = 0,
) {
    /** The table with [count] of a target of [slots], reported at [now]. */
    fun plus(count: TargetCount, slots: Int, now: Timestamp): GroupLoads {
        val before = counts[count.target]
        return GroupLoads(
            counts = counts.put(count.target, Entry(count, slots, now)),
            total = total + count.inFlight - (before?.count?.inFlight ?: 0),
            capacity = capacity + slots - (before?.slots ?: 0),
        )
    }

    /** The table without counts that nobody repeated lately. */
    fun withoutLapsed(now: Timestamp): GroupLoads = counts.values
        .filter { now - it.at > COUNT_LIFETIME }
        .fold(this) { left, entry -> left.without(entry) }

    /** The targets with most free slots, at most three. */
    fun roomy(): List<TargetId> = counts.values
        .filter { it.free > 0 }
        .sortedByDescending { it.free }
        .take(ROOMY_NAMED)
        .map { it.count.target }

    private fun without(entry: Entry) = GroupLoads(
        counts = counts.remove(entry.count.target),
        total = total - entry.count.inFlight,
        capacity = capacity - entry.slots,
    )

    /** One target's count, its capacity in [slots], and when the count came. */
    data class Entry(val count: TargetCount, val slots: Int, val at: Timestamp) {
        /** Slots that are neither taken nor waited for. */
        val free: Int get() = slots - count.inFlight - count.queued
    }

    private companion object {
        val COUNT_LIFETIME = 5.seconds
        const val ROOMY_NAMED = 3
    }
}
