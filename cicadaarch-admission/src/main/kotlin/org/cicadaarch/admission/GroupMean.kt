package org.cicadaarch.admission

import org.cicadaarch.model.TargetId
import org.cicadaarch.model.Timestamp

/**
 * What an owner last heard from the load-mean aggregator: [total] requests in flight on targets of [capacity] slots.
 *
 * [roomy] are the targets with most free slots.
 */
data class GroupMean(
    val total: Int,
    val capacity: Int,
    val roomy: List<TargetId> = emptyList(),
    val heardAt: Timestamp,
)
