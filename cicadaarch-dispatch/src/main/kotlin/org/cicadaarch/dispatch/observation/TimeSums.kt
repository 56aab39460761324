package org.cicadaarch.dispatch.observation

import kotlinx.collections.immutable.PersistentMap
import org.cicadaarch.dispatch.capacity.DecayingTimes
import org.cicadaarch.dispatch.capacity.RelativeTimes
import org.cicadaarch.dispatch.target.TargetEntry
import org.cicadaarch.model.RouterAddress
import org.cicadaarch.model.TargetId
import org.cicadaarch.model.Timestamp

/**
 * Sums of the response times of targets.
 */
internal object TimeSums {
    private const val NEGLIGIBLE = 0.02

    /** Routers that merge receive about equal parts, so those of one count up to this multiple of the median. */
    private const val MAX_OVER_MEDIAN = 2.0
    private const val MIN_ROUTERS = 3
    private const val MIN_GROUP_SAMPLES = 0.3

    /** The [sums] with the times in [report], which [reporter] sent. */
    fun added(
        sums: PersistentMap<TimesKey, DecayingTimes>,
        report: Map<TargetId, RelativeTimes>,
        reporter: RouterAddress?,
        now: Timestamp,
    ): PersistentMap<TimesKey, DecayingTimes> {
        val builder = sums.builder()
        report.forEach { (target, times) ->
            val key = TimesKey.of(target, reporter)
            builder[key] = (sums[key] ?: DecayingTimes.empty(now)).plus(times, now)
        }
        return builder.build()
    }

    /** The [sums] without those that hardly count any longer. */
    fun pruned(sums: PersistentMap<TimesKey, DecayingTimes>, now: Timestamp): PersistentMap<TimesKey, DecayingTimes> {
        val builder = sums.builder()
        builder.values.removeAll { it.at(now).samples < NEGLIGIBLE }
        return builder.build()
    }

    /** The times of [targets] at all routers: the [sums] of this one and those in the summaries that it [received]. */
    fun merged(
        sums: Map<TimesKey, DecayingTimes>,
        received: Collection<SharedObservations.Received>,
        targets: Collection<TargetEntry>,
        now: Timestamp,
    ): Map<TargetId, RelativeTimes> {
        val summaries = received.map { (summary, at) -> summary.aged(now - at) }
        return targets.associate { target ->
            val groups = List(TimesKey.GROUPS) { TimesKey(target.id, it) }.map { key ->
                val own = sums[key]?.at(now) ?: RelativeTimes()
                total(summaries.map { timesIn(it, key, target) } + own)
            }
            target.id to ofGroups(groups)
        }
    }

    private fun timesIn(summary: ObservationSummary, key: TimesKey, target: TargetEntry): RelativeTimes =
        summary.times[key] ?: summary.typicalTimes[target.service]?.dividedBy(TimesKey.GROUPS) ?: RelativeTimes()

    /** All samples of the [groups], with the median of their means; of two, the lower one. */
    private fun ofGroups(groups: List<RelativeTimes>): RelativeTimes {
        val means = groups.filter { it.samples >= MIN_GROUP_SAMPLES }.map { it.total / it.samples }.sorted()
        if (means.isEmpty()) return RelativeTimes()
        val samples = groups.sumOf { it.samples }
        return RelativeTimes(samples, total = samples * means[(means.size - 1) / 2])
    }

    /** The sum of [parts]. None counts for much more than the usual one, so that no router outweighs the others. */
    private fun total(parts: List<RelativeTimes>): RelativeTimes {
        val median = parts.map { it.samples }.sorted()[parts.size / 2]
        val maximum = if (parts.size < MIN_ROUTERS) Double.MAX_VALUE else median * MAX_OVER_MEDIAN + 1.0
        return parts.fold(RelativeTimes()) { sum, part -> sum.plus(part.limitedTo(maximum)) }
    }
}
