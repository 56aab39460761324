package org.cicadaarch.admission

import org.cicadaarch.model.TargetId
import org.cicadaarch.model.Timestamp

/**
 * The load of a [LoadGroup] as last received from its aggregator: [total] requests in flight on targets that have
 * [capacity] slots together. [targetsWithFreeSlots] are the few targets with the most free slots.
 */
data class GroupLoad(
    val total: Int,
    val capacity: Int,
    val targetsWithFreeSlots: List<TargetId> = emptyList(),
    val receivedAt: Timestamp,
)
