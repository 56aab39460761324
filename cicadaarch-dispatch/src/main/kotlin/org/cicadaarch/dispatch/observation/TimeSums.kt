package org.cicadaarch.dispatch.observation

import kotlinx.collections.immutable.PersistentMap
import org.cicadaarch.dispatch.capacity.DecayingTimes
import org.cicadaarch.dispatch.capacity.RelativeTimes
import org.cicadaarch.model.TargetId
import org.cicadaarch.model.Timestamp

/**
 * Sums of the response times of targets.
 */
internal object TimeSums {
    private const val NEGLIGIBLE = 0.02

    /** Routers that merge are told of about equal parts, so what is further above their median is left out. */
    private const val MAX_OVER_MEDIAN = 2.0
    private const val MIN_ROUTERS = 3

    /** The [sums] with the times in [report]. */
    fun added(
        sums: PersistentMap<TargetId, DecayingTimes>,
        report: Map<TargetId, RelativeTimes>,
        now: Timestamp,
    ): PersistentMap<TargetId, DecayingTimes> {
        val builder = sums.builder()
        report.forEach { (target, times) ->
            builder[target] = (sums[target] ?: DecayingTimes.empty(now)).plus(times, now)
        }
        return builder.build()
    }

    /** The [sums] without those that hardly count any longer. */
    fun pruned(sums: PersistentMap<TargetId, DecayingTimes>, now: Timestamp): PersistentMap<TargetId, DecayingTimes> {
        val builder = sums.builder()
        builder.values.removeAll { it.at(now).samples < NEGLIGIBLE }
        return builder.build()
    }

    /** The times of all routers: the [sums] of this one and those in the summaries that it [received]. */
    fun merged(
        sums: Map<TargetId, DecayingTimes>,
        received: Collection<SharedObservations.Received>,
        now: Timestamp,
    ): Map<TargetId, RelativeTimes> {
        val parts = received.map { (summary, at) -> summary.times.mapValues { it.value.aged(now - at) } } +
            sums.mapValues { it.value.at(now) }
        val targets = parts.flatMapTo(HashSet()) { it.keys }
        return targets.associateWith { target -> total(parts.map { it[target] ?: RelativeTimes() }) }
    }

    /** The sum of [parts]. None counts for much more than the usual one, so that no router outweighs the others. */
    private fun total(parts: List<RelativeTimes>): RelativeTimes {
        val median = parts.map { it.samples }.sorted()[parts.size / 2]
        val maximum = if (parts.size < MIN_ROUTERS) Double.MAX_VALUE else median * MAX_OVER_MEDIAN + 1.0
        return parts.fold(RelativeTimes()) { sum, part -> sum.plus(part.limitedTo(maximum)) }
    }
}
