package org.cicadaarch.dispatch.observation

import kotlin.time.Duration.Companion.milliseconds
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import org.cicadaarch.dispatch.capacity.CapacityEstimates
import org.cicadaarch.dispatch.capacity.DecayingTimes
import org.cicadaarch.dispatch.capacity.RelativeTimes
import org.cicadaarch.dispatch.capacity.TargetCapacity
import org.cicadaarch.dispatch.target.LoadBound
import org.cicadaarch.dispatch.target.TargetEntry
import org.cicadaarch.model.RouterAddress
import org.cicadaarch.model.ServiceName
import org.cicadaarch.model.TargetId
import org.cicadaarch.model.Timestamp

/**
 * The observations that a router merges on behalf of others: the reports of routers, and the firsthand summaries of the
 * other routers that merge. Of several reports of a target, the newest holds. A load older than [LIFETIME] is dropped,
 * a summary after [SUMMARY_LIFETIME].
 */
data class SharedObservations(
    private val imbalanceFactor: Double,
    private val demands: PromptDemands = PromptDemands(),
    private val loads: PersistentMap<TargetId, DatedLoad> = persistentHashMapOf(),
    private val times: PersistentMap<TimesKey, DecayingTimes> = persistentHashMapOf(),
    private val estimates: CapacityEstimates = CapacityEstimates(),
    private val received: PersistentMap<RouterAddress, Received> = persistentHashMapOf(),
) {
    /** A copy with [report] of [reporter], null if it is not known. */
    fun withReport(report: ObservationReport, now: Timestamp, reporter: RouterAddress? = null): SharedObservations {
        val updated = loads.builder()
        report.loads.forEach { (target, load) -> updated[target] = load.dated(now).newest(updated[target]) }
        return copy(
            demands = demands.plus(report.work, now),
            loads = updated.build(),
            times = TimeSums.added(times, report.times, reporter, now),
        )
    }

    /** A copy with the firsthand [summary] of [router], in place of the one before it. */
    fun withSummary(router: RouterAddress, summary: ObservationSummary, now: Timestamp): SharedObservations =
        copy(received = received.put(router, Received(summary, now)))

    /** The targets with limited capacity. */
    val capacities: Map<TargetId, TargetCapacity> get() = estimates.limited

    /** A copy with new estimates of the capacities of [targets]. */
    fun withEstimates(targets: Collection<TargetEntry>, now: Timestamp): SharedObservations {
        val current = TimeSums.merged(times, received.values, targets, now)
        val updated = targets.groupBy { it.service }.values.fold(estimates) { before, entries ->
            before.updated(entries.associate { it.id to (current[it.id] ?: RelativeTimes()) }, now)
        }
        return copy(estimates = updated.retain(targets.mapTo(HashSet()) { it.id }))
    }

    /** A copy without what is too old to matter. */
    fun pruned(now: Timestamp): SharedObservations {
        val recentLoads = loads.builder()
        recentLoads.values.removeAll { now - it.at > LIFETIME }
        val recentSummaries = received.builder()
        recentSummaries.values.removeAll { now - it.at + it.summary.age > SUMMARY_LIFETIME }
        return copy(
            demands = demands.pruned(now),
            loads = recentLoads.build(),
            times = TimeSums.pruned(times, now),
            received = recentSummaries.build(),
        )
    }

    /** The summary of [scope] for a fleet with [targets]. */
    fun summary(scope: ObservationScope, targets: Collection<TargetEntry>, now: Timestamp): ObservationSummary {
        val summaries = if (scope == ObservationScope.FLEET) received.values else emptyList()
        val newestLoads = newestLoads(summaries, now)
        val services = targets.groupBy { it.service }.mapNotNull { (service, entries) ->
            loadSummary(service, entries.mapNotNull { newestLoads[it.id]?.let { load -> it.id to load } }.toMap())
        }
        val ownTimes = if (scope == ObservationScope.FIRSTHAND) firsthandTimes(targets, now) else FirsthandTimes()
        return ObservationSummary(
            demands = demands(scope, summaries, now),
            typicalLoads = services.associate { it.service to it.typical },
            heavyLoads = services.flatMap { it.heavy.entries }.associate { it.key to it.value.aged(now) },
            times = ownTimes.listed,
            typicalTimes = ownTimes.typical,
            capacities = if (scope == ObservationScope.FLEET) capacities else emptyMap(),
        )
    }

    private fun firsthandTimes(targets: Collection<TargetEntry>, now: Timestamp): FirsthandTimes =
        FirsthandTimes.of(times.mapValues { it.value.at(now) }, targets, capacities.keys)

    private fun newestLoads(summaries: Collection<Received>, now: Timestamp): Map<TargetId, DatedLoad> {
        val newest = HashMap(loads)
        summaries.forEach { (summary, at) ->
            summary.heavyLoads.forEach { (target, load) -> newest[target] = load.dated(at).newest(newest[target]) }
        }
        return newest.filterValues { now - it.at <= LIFETIME }
    }

    private fun demands(
        scope: ObservationScope,
        summaries: Collection<Received>,
        now: Timestamp,
    ): Map<PromptId, Double> {
        val sums = HashMap(demands.strongest(MAX_PROMPTS, MIN_FIRSTHAND_DEMAND, now))
        summaries.forEach { (summary, _) ->
            summary.demands.forEach { (prompt, demand) -> sums.merge(prompt, demand, Double::plus) }
        }
        if (scope == ObservationScope.FIRSTHAND) return sums
        return sums.entries.filter { it.value >= MIN_DEMAND }.sortedByDescending { it.value }.take(MAX_PROMPTS)
            .associate { it.toPair() }
    }

    private fun loadSummary(service: ServiceName, loads: Map<TargetId, DatedLoad>): LoadSummary? {
        if (loads.isEmpty()) return null
        val bound = LoadBound.of(imbalanceFactor, meanOf(loads.values))
        val heavy = loads.filterValues { it.requests >= bound * HEAVY_SHARE }
        val others = (loads - heavy.keys).ifEmpty { loads }
        return LoadSummary(service, typical = meanOf(others.values), heavy)
    }

    private fun meanOf(loads: Collection<DatedLoad>): Double = loads.sumOf { it.requests }.toDouble() / loads.size

    /** A [summary] that was received [at]. */
    data class Received(val summary: ObservationSummary, val at: Timestamp)

    private class LoadSummary(val service: ServiceName, val typical: Double, val heavy: Map<TargetId, DatedLoad>)

    companion object {
        /** By then, most of the requests that a report counted have ended. */
        val LIFETIME = 1_200.milliseconds

        /** Longer than another router may take to send the next one. */
        val SUMMARY_LIFETIME = 2_000.milliseconds

        /** Less demand is left out of a summary: of the whole fleet, and of one of the routers that merge. */
        const val MIN_DEMAND = 2.0
        const val MIN_FIRSTHAND_DEMAND = 0.8

        /** A summary lists a target by itself if its load is at least this share of the load bound. */
        private const val HEAVY_SHARE = 0.5

        /** Bounds the size of a summary. */
        private const val MAX_PROMPTS = 32
    }
}
