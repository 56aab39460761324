package org.cicadaarch.dispatch.observation

import org.cicadaarch.dispatch.capacity.RelativeTimes
import org.cicadaarch.dispatch.target.TargetEntry
import org.cicadaarch.model.ServiceName
import org.cicadaarch.model.TargetId

/**
 * The response times that a router which merges observations tells the others like it: those of the [listed] targets,
 * and the [typical] ones of each other target, by service.
 */
internal data class FirsthandTimes(
    val listed: Map<TimesKey, RelativeTimes> = emptyMap(),
    val typical: Map<ServiceName, RelativeTimes> = emptyMap(),
) {
    companion object {
        /** A service with so many targets is listed as a whole. */
        private const val MAX_LISTED_SERVICE = 16

        /** A target of a larger service is listed if it takes longer than the middle one by this factor. */
        private const val LISTED_FACTOR = 1.5

        /** The times to tell of [targets], some of which are [limited], by all that are known, [times]. */
        fun of(
            times: Map<TimesKey, RelativeTimes>,
            targets: Collection<TargetEntry>,
            limited: Set<TargetId>,
        ): FirsthandTimes {
            val totals = totals(times)
            return targets.groupBy({ it.service }, { it.id }).entries.fold(FirsthandTimes()) { all, (service, ids) ->
                val listed = if (ids.size <= MAX_LISTED_SERVICE) ids.toSet() else listed(ids, totals, limited)
                val others = (ids - listed).map { totals[it] ?: RelativeTimes() }
                FirsthandTimes(
                    listed = all.listed + listed.flatMap { groupsOf(it, times) },
                    typical = if (others.isEmpty()) all.typical else all.typical + (service to mean(others)),
                )
            }
        }

        private fun totals(times: Map<TimesKey, RelativeTimes>): Map<TargetId, RelativeTimes> =
            times.entries.groupBy({ it.key.target }, { it.value }).mapValues { (_, groups) ->
                groups.fold(RelativeTimes()) { sum, group -> sum.plus(group) }
            }

        private fun listed(
            ids: List<TargetId>,
            totals: Map<TargetId, RelativeTimes>,
            limited: Set<TargetId>,
        ): Set<TargetId> {
            val means = ids.mapNotNull { id ->
                totals[id]?.takeIf { it.samples > 0 }?.let { it.total / it.samples }
            }.sorted()
            val middle = means.getOrNull((means.size - 1) / 2) ?: return emptySet()
            return ids.filterTo(HashSet()) { id ->
                id in limited || totals[id].let { it != null && it.total > it.samples * middle * LISTED_FACTOR }
            }
        }

        private fun groupsOf(target: TargetId, times: Map<TimesKey, RelativeTimes>) =
            List(TimesKey.GROUPS) { TimesKey(target, it) }.map { it to (times[it] ?: RelativeTimes()) }

        private fun mean(times: List<RelativeTimes>): RelativeTimes {
            val sum = times.fold(RelativeTimes()) { total, next -> total.plus(next) }
            return RelativeTimes(sum.samples / times.size, sum.total / times.size)
        }
    }
}
