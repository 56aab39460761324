package org.cicadaarch.dispatch.capacity

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import org.cicadaarch.model.TargetId
import org.cicadaarch.model.Timestamp

/**
 * The estimates of the targets that are or recently were slow in comparison to the others of their service.
 */
data class CapacityEstimates(private val estimates: PersistentMap<TargetId, CapacityEstimate> = persistentHashMapOf()) {
    /** The capacities of the targets that do not handle their usual load well. */
    val limited: Map<TargetId, TargetCapacity>
        get() = estimates.mapValues { it.value.capacity }.filterValues { it.share < 1.0 }

    /** The estimates at [now], after the targets of one service responded in [times]. */
    fun updated(times: Map<TargetId, RelativeTimes>, now: Timestamp): CapacityEstimates {
        val means = times.mapValues { it.value.mean }
        val middle = middle(means.values.filterNotNull())
        val builder = estimates.builder()
        means.forEach { (target, mean) ->
            val relativeTime = if (mean != null && middle != null) mean / middle else null
            val next = next(estimates[target], relativeTime, now)
            if (next != null) builder[target] = next else builder.remove(target)
        }
        return CapacityEstimates(builder.build())
    }

    /** The estimates of [targets] only. */
    fun retain(targets: Set<TargetId>): CapacityEstimates {
        val builder = estimates.builder()
        builder.keys.retainAll(targets)
        return CapacityEstimates(builder.build())
    }

    private fun next(before: CapacityEstimate?, relativeTime: Double?, now: Timestamp): CapacityEstimate? = when {
        before != null -> before.updated(relativeTime, now).takeUnless { it.isOver(now) }
        relativeTime != null && relativeTime >= CapacityEstimate.SLOW -> CapacityEstimate.slow(relativeTime, now)
        else -> null
    }

    /** The lower one of the two middle values, so that one of two targets can be slow. */
    private fun middle(means: List<Double>): Double? = means.sorted().getOrNull((means.size - 1) / 2)
}
