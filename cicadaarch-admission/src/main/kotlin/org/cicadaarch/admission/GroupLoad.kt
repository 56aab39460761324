package org.cicadaarch.admission

import org.cicadaarch.model.TargetId
import org.cicadaarch.model.Timestamp

/**
 * What an owner last heard from the load-mean aggregator: [total] requests in flight on targets of [capacity] slots.
 *
 * [targetsWithFreeSlots] are the targets with most free slots.
 */
data class GroupLoad(
    val total: Int,
    val capacity: Int,
    val targetsWithFreeSlots: List<TargetId> = emptyList(),
    val receivedAt: Timestamp,
)
