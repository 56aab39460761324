package org.cicadaarch.dispatch.target

import org.cicadaarch.model.TargetId
import org.cicadaarch.model.Timestamp
import org.cicadaarch.model.ZoneName
import org.cicadaarch.placement.RendezvousHash

/**
 * Selects the target of an attempt among the targets of a service.
 *
 * Attempts with a prompt use rendezvous hashing with bounded loads: they go to the first target in the order of their
 * prompt key whose usual load is below the load bound, so that requests with the same prompt find it in one target's
 * cache. In a large fleet a router seldom has a recent report of a target; one without a report counts as a typical
 * target, not as an empty one. Other attempts go to the least loaded target; on a tie, one in the router's own [zone]
 * is preferred.
 */
class TargetSelector(private val zone: ZoneName, private val imbalanceFactor: Double) {
    /** Selects one of [targets] for an attempt with [criteria]; null if all eligible ones are full. */
    fun select(targets: Collection<TargetState>, criteria: SelectionCriteria, now: Timestamp): TargetSelection? {
        val eligible = eligible(targets, criteria, now)
        val usualLoads = usualLoads(eligible, now)
        val loadBound = imbalanceFactor * (usualLoads.sum() / eligible.size.coerceAtLeast(1)) + LOAD_BOUND_SLACK
        val selected = if (criteria.promptKey == null) {
            leastLoaded(eligible, criteria, now)
        } else {
            byPrompt(eligible, criteria.promptKey, usualLoads, loadBound, now)
        }
        return selected?.let { TargetSelection(it, loadBound) }
    }

    /**
     * The target from which [selected] may copy the cache of [promptKey]: [lastTarget], to which the prompt was last
     * sent, else the first other target in the prompt's rendezvous order, which served it until [selected] joined.
     */
    fun cacheSource(
        targets: Collection<TargetState>,
        promptKey: String,
        selected: TargetId,
        lastTarget: TargetId?,
        now: Timestamp,
    ): TargetState? {
        val others = targets.filter { it.entry.id != selected && !it.isEjected(now) && !it.isUnresponsive(now) }
        return others.firstOrNull { it.entry.id == lastTarget }
            ?: RendezvousHash.first(key = promptKey, members = others, name = { it.entry.id.value })
    }

    /**
     * The healthy ones of the targets that are neither draining nor excluded. If none is healthy, all that are not
     * ejected; if all are ejected, all of them.
     */
    private fun eligible(
        targets: Collection<TargetState>,
        criteria: SelectionCriteria,
        now: Timestamp,
    ): List<TargetState> {
        val allowed = targets.filter { !it.entry.isDraining && it.entry.id !in criteria.excluded }
        val meanErrorRate = allowed.sumOf { it.errorRate } / allowed.size.coerceAtLeast(1)
        val healthy = allowed.filter {
            !it.isEjected(now) && !it.isUnresponsive(now) && !isOutlier(it, meanErrorRate)
        }
        return healthy.ifEmpty { allowed.filter { !it.isEjected(now) } }.ifEmpty { allowed }
    }

    private fun isOutlier(target: TargetState, meanErrorRate: Double): Boolean =
        target.errorRate > OUTLIER_ERROR_RATE && target.errorRate > 2 * meanErrorRate

    private fun byPrompt(
        targets: List<TargetState>,
        promptKey: String,
        usualLoads: List<Double>,
        loadBound: Double,
        now: Timestamp,
    ): TargetState? {
        val free = targets.indices.filter { targets[it].load(now) + 1 <= targets[it].entry.slots }
        val belowBound = free.filter { usualLoads[it] + 1 <= loadBound * LOAD_BOUND_FRACTION }
        val selected =
            RendezvousHash.first(key = promptKey, members = belowBound, name = { targets[it].entry.id.value })
                ?: free.minByOrNull { usualLoads[it] }
        return selected?.let { targets[it] }
    }

    private fun usualLoads(targets: List<TargetState>, now: Timestamp): List<Double> {
        val typicalOthers = typicalOthersInFlight(targets, now)
        return targets.map { it.usualLoad(typicalOthers, now) }
    }

    /** The mean number of other routers' requests at a target, by the reports that still have a weight. */
    private fun typicalOthersInFlight(targets: List<TargetState>, now: Timestamp): Double {
        val weight = targets.sumOf { it.reportWeight(now) }
        if (weight == 0.0) return 0.0
        return targets.sumOf { it.usualOthersInFlight * it.reportWeight(now) } / weight
    }

    private fun leastLoaded(targets: List<TargetState>, criteria: SelectionCriteria, now: Timestamp): TargetState? =
        targets
            .filter { it.load(now) + 1 <= it.entry.slots * QUEUE_FACTOR }
            .minWithOrNull(
                compareBy<TargetState> { (it.load(now) / it.entry.slots * LOAD_STEPS).toInt() }
                    .thenBy { it.entry.zone != zone }
                    .thenBy { (it.entry.id.value.hashCode() xor criteria.tieBreaker).mod(Int.MAX_VALUE) },
            )

    private companion object {
        /** Requests added to the load bound, as a multiple of the mean alone is too strict when the mean is small. */
        const val LOAD_BOUND_SLACK = 3.0

        /** Part of the load bound in use, since reports are seconds old and other routers act on them too. */
        const val LOAD_BOUND_FRACTION = 0.75
        const val OUTLIER_ERROR_RATE = 0.3

        /** Without a prompt, a target gets attempts up to this multiple of its slots: it queues as many as it runs. */
        const val QUEUE_FACTOR = 2

        /** Steps per unit of relative load (load divided by slots); loads within the same step count as equal. */
        const val LOAD_STEPS = 6
    }
}
