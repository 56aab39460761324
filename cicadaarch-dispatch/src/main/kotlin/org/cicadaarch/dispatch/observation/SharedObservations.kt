package org.cicadaarch.dispatch.observation

import kotlin.time.Duration.Companion.milliseconds
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import org.cicadaarch.dispatch.target.LoadBound
import org.cicadaarch.dispatch.target.TargetEntry
import org.cicadaarch.model.RouterAddress
import org.cicadaarch.model.ServiceName
import org.cicadaarch.model.TargetId
import org.cicadaarch.model.Timestamp

/**
 * The observations that a router merges on behalf of others: the reports of routers, and the firsthand digests of the
 * other routers that merge. Of several reports of a target, the newest holds. What is older than [LIFETIME] is dropped.
 */
data class SharedObservations(
    private val imbalanceFactor: Double,
    private val demands: PromptDemands = PromptDemands(),
    private val loads: PersistentMap<TargetId, DatedLoad> = persistentHashMapOf(),
    private val received: PersistentMap<RouterAddress, Received> = persistentHashMapOf(),
) {
    /** A copy with [report] of a router. */
    fun withReport(report: ObservationReport, now: Timestamp): SharedObservations {
        val updated = loads.builder()
        report.loads.forEach { (target, load) -> updated[target] = load.dated(now).newest(updated[target]) }
        return copy(demands = demands.plus(report.work, now), loads = updated.build())
    }

    /** A copy with the firsthand [digest] of [router], in place of the one before it. */
    fun withDigest(router: RouterAddress, digest: ObservationDigest, now: Timestamp): SharedObservations =
        copy(received = received.put(router, Received(digest, now)))

    /** A copy without what is too old to matter. */
    fun pruned(now: Timestamp): SharedObservations {
        val recentLoads = loads.builder()
        recentLoads.values.removeAll { now - it.at > LIFETIME }
        val recentDigests = received.builder()
        recentDigests.values.removeAll { now - it.at + it.digest.age > LIFETIME }
        return copy(
            demands = demands.pruned(now),
            loads = recentLoads.build(),
            received = recentDigests.build(),
        )
    }

    /** The digest of [scope] for a fleet with [targets]. */
    fun digest(scope: ObservationScope, targets: Collection<TargetEntry>, now: Timestamp): ObservationDigest {
        val digests = if (scope == ObservationScope.FLEET) received.values else emptyList()
        val newestLoads = newestLoads(digests, now)
        val services = targets.groupBy { it.service }.mapNotNull { (service, entries) ->
            summary(service, entries.mapNotNull { newestLoads[it.id]?.let { load -> it.id to load } }.toMap())
        }
        return ObservationDigest(
            demands = demands(scope, digests, now),
            typicalLoads = services.associate { it.service to it.typical },
            heavyLoads = services.flatMap { it.heavy.entries }.associate { it.key to it.value.aged(now) },
        )
    }

    private fun newestLoads(digests: Collection<Received>, now: Timestamp): Map<TargetId, DatedLoad> {
        val newest = HashMap(loads)
        digests.forEach { (digest, at) ->
            digest.heavyLoads.forEach { (target, load) -> newest[target] = load.dated(at).newest(newest[target]) }
        }
        return newest.filterValues { now - it.at <= LIFETIME }
    }

    private fun demands(
        scope: ObservationScope,
        digests: Collection<Received>,
        now: Timestamp,
    ): Map<PromptId, Double> {
        val sums = HashMap(demands.strongest(MAX_PROMPTS, MIN_FIRSTHAND_DEMAND, now))
        digests.forEach { (digest, _) ->
            digest.demands.forEach { (prompt, demand) -> sums.merge(prompt, demand, Double::plus) }
        }
        if (scope == ObservationScope.FIRSTHAND) return sums
        return sums.entries.filter { it.value >= MIN_DEMAND }.sortedByDescending { it.value }.take(MAX_PROMPTS)
            .associate { it.toPair() }
    }

    private fun summary(service: ServiceName, loads: Map<TargetId, DatedLoad>): LoadSummary? {
        if (loads.isEmpty()) return null
        val bound = LoadBound.of(imbalanceFactor, meanOf(loads.values))
        val heavy = loads.filterValues { it.requests >= bound * HEAVY_SHARE }
        val others = (loads - heavy.keys).ifEmpty { loads }
        return LoadSummary(service, typical = meanOf(others.values), heavy)
    }

    private fun meanOf(loads: Collection<DatedLoad>): Double = loads.sumOf { it.requests }.toDouble() / loads.size

    /** A [digest] that was received [at]. */
    data class Received(val digest: ObservationDigest, val at: Timestamp)

    private class LoadSummary(val service: ServiceName, val typical: Double, val heavy: Map<TargetId, DatedLoad>)

    companion object {
        /** A target's load is another one after this time. */
        val LIFETIME = 1_200.milliseconds

        /** The demand from which a prompt matters, in all and at one of the routers that merge. */
        const val MIN_DEMAND = 2.0
        const val MIN_FIRSTHAND_DEMAND = 0.8

        /** Share of the load bound from which a target is told of by itself. */
        private const val HEAVY_SHARE = 0.5

        /** Bounds the size of a digest. */
        private const val MAX_PROMPTS = 32
    }
}
