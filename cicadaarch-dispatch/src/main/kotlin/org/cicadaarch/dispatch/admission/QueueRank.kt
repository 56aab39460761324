package org.cicadaarch.dispatch.admission

import org.cicadaarch.model.Timestamp

/**
 * The place of a request in a queue; the lowest rank is sent first.
 *
 * Requests that [isStarved] go first, then the lowest [priority], then those whose accounts are the fewest [turnsAhead]
 * of their share, then those that are not [isLate], and then those with the earliest [dueAt].
 */
internal data class QueueRank(
    val isStarved: Boolean,
    val priority: Int,
    val turnsAhead: Int,
    val isLate: Boolean,
    val dueAt: Timestamp,
) : Comparable<QueueRank> {
    override fun compareTo(other: QueueRank): Int = ORDER.compare(this, other)

    private companion object {
        val ORDER = compareBy<QueueRank> { !it.isStarved }
            .thenBy { it.priority }
            .thenBy { it.turnsAhead }
            .thenBy { it.isLate }
            .thenBy { it.dueAt }
    }
}
