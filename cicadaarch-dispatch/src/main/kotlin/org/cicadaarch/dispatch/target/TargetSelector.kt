package org.cicadaarch.dispatch.target

import kotlin.math.ceil
import org.cicadaarch.dispatch.capacity.CapacityFilter
import org.cicadaarch.dispatch.evacuation.Evacuations
import org.cicadaarch.dispatch.warmup.WarmUpRules
import org.cicadaarch.model.TargetId
import org.cicadaarch.model.Timestamp
import org.cicadaarch.model.ZoneName
import org.cicadaarch.placement.RendezvousHash

/**
 * Selects the target of an attempt among the targets of a service.
 *
 * Attempts with a prompt use rendezvous hashing with bounded loads: they go to the first target in the order of their
 * prompt key whose usual load is below the load bound, so that requests with the same prompt find it in one target's
 * cache. A prompt that keeps more requests running at once than one target has room for is spread over as many of the
 * first targets in its order as it needs. So routers that know the same demand agree without a message, and do not all
 * move on to the same next target.
 *
 * In a large fleet a router seldom has a recent report of a target; one without a report counts as a typical target,
 * not as an empty one. Other attempts go to the least loaded target; on a tie, one in the router's own [zone]
 * is preferred.
 *
 * Targets in zones of [evacuations] are never selected. They count in the mean load, which the load bound follows.
 * Targets that warm up count alike, and are selected only if no other one has room. After that, a target serves a
 * growing share of the prompts, unless the others are over the bound.
 * Targets with a limited capacity get the attempts that [capacityFilter] leaves them, and others if all else is full.
 */
class TargetSelector(
    private val zone: ZoneName,
    private val imbalanceFactor: Double,
    private val evacuations: Evacuations = Evacuations(),
    private val capacityFilter: CapacityFilter = CapacityFilter(emptyMap()),
) {
    /**
     * Selects one of [targets] for an attempt with [criteria]; null if all eligible ones are full. [warmUpRules] are
     * null if the service has none.
     */
    fun select(
        targets: Collection<TargetState>,
        criteria: SelectionCriteria,
        now: Timestamp,
        warmUpRules: WarmUpRules? = null,
    ): TargetSelection? {
        val (evacuated, usable) = targets.partition { evacuations.contains(it.entry.zone) }
        val (warming, others) = usable.partition { warmUpRules?.isWarmingUp(it) == true }
        val unused = evacuated + warming
        if (warmUpRules == null || warming.isEmpty()) {
            return selectCapable(eligible(others, criteria, now), criteria, now, unused, warmUpRules)
        }
        return selectCapable(healthy(others, criteria, now), criteria, now, unused, warmUpRules)
            ?: selectWarming(healthy(warming, criteria, now), criteria, now, warmUpRules)
            ?: selectCapable(eligible(others, criteria, now), criteria, now, unused, warmUpRules)
    }

    /** Selects one of [candidates] that their capacity does not withhold, if one of them has room, else of all. */
    private fun selectCapable(
        candidates: List<TargetState>,
        criteria: SelectionCriteria,
        now: Timestamp,
        unused: List<TargetState>,
        warmUpRules: WarmUpRules?,
    ): TargetSelection? {
        val withheld = capacityFilter.withheld(
            candidates = candidates.map { it.entry.id },
            promptKey = criteria.promptKey,
            mayBeRepeated = criteria.mayBeRepeated,
            tieBreaker = criteria.tieBreaker,
        )
        if (withheld.isEmpty()) return selectAmong(candidates, criteria, now, unused, warmUpRules)
        val (limited, others) = candidates.partition { it.entry.id in withheld }
        return selectAmong(others, criteria, now, unused + limited, warmUpRules)
            ?: selectAmong(candidates, criteria, now, unused, warmUpRules)
    }

    private fun selectAmong(
        candidates: List<TargetState>,
        criteria: SelectionCriteria,
        now: Timestamp,
        unused: List<TargetState>,
        warmUpRules: WarmUpRules?,
    ): TargetSelection? {
        val loads = ServiceLoads(candidates, imbalanceFactor, now, unused)
        val key = criteria.promptKey ?: criteria.tieBreaker.toString()
        val mayServe = warmUpRules?.servesAmong(candidates, key) ?: { true }
        if (criteria.promptKey == null) {
            return leastLoaded(loads, criteria, now, mayServe)
                ?.let { TargetSelection(it, it.load(now), it.reportedAt, loads.bound) }
        }
        return byPrompt(loads, criteria.promptKey, criteria, mayServe)
            ?.let {
                val target = loads.targets[it]
                TargetSelection(target, loads.usual(it), target.usualLoadAt, loads.bound)
            }
    }

    /** Selects one of the targets in [warming] that may get a request of this router and has a free slot. */
    private fun selectWarming(
        warming: List<TargetState>,
        criteria: SelectionCriteria,
        now: Timestamp,
        warmUpRules: WarmUpRules,
    ): TargetSelection? {
        val usable = warming.filter { it.load(now) + 1 <= it.entry.slots && warmUpRules.mayUseWarming(it) }
        val bound = ServiceLoads(warming, imbalanceFactor, now).bound
        val selected = leastLoaded(usable, bound, criteria, now) ?: return null
        return TargetSelection(
            selected,
            selected.load(now),
            selected.reportedAt,
            bound,
            warmUpRules.remaining(selected),
        )
    }

    /**
     * The target from which [selected] may copy the cache of [promptKey]: [lastTarget], to which the prompt was last
     * sent, else the first other target in the prompt's rendezvous order that may serve it, which served it until
     * [selected] joined.
     */
    fun cacheSource(
        targets: Collection<TargetState>,
        promptKey: String,
        selected: TargetId,
        lastTarget: TargetId?,
        now: Timestamp,
        warmUpRules: WarmUpRules? = null,
    ): TargetState? {
        val others = targets.filter { it.entry.id != selected && !it.isEjected(now) && !it.isUnresponsive(now) }
        return others.firstOrNull { it.entry.id == lastTarget }
            ?: RendezvousHash.first(
                key = promptKey,
                members = others.filter(warmUpRules?.servesAmong(others, promptKey) ?: { true }),
                name = { it.entry.id.value },
            )
    }

    /**
     * The healthy ones of the targets that are neither draining nor excluded. If none is healthy, all that are not
     * ejected; if all are ejected, all of them.
     */
    private fun eligible(targets: List<TargetState>, criteria: SelectionCriteria, now: Timestamp): List<TargetState> {
        val allowed = allowed(targets, criteria)
        return healthy(targets, criteria, now).ifEmpty { allowed.filter { !it.isEjected(now) } }.ifEmpty { allowed }
    }

    /** The healthy ones of the targets that are neither draining nor excluded. */
    private fun healthy(targets: List<TargetState>, criteria: SelectionCriteria, now: Timestamp): List<TargetState> {
        val allowed = allowed(targets, criteria)
        val meanErrorRate = allowed.sumOf { it.errorRate } / allowed.size.coerceAtLeast(1)
        return allowed.filter { !it.isEjected(now) && !it.isUnresponsive(now) && !isOutlier(it, meanErrorRate) }
    }

    private fun allowed(targets: List<TargetState>, criteria: SelectionCriteria): List<TargetState> =
        targets.filter { !it.entry.isDraining && it.entry.id !in criteria.excluded }

    private fun isOutlier(target: TargetState, meanErrorRate: Double): Boolean =
        target.errorRate > OUTLIER_ERROR_RATE && target.errorRate > 2 * meanErrorRate

    /** The index of the selected target. */
    private fun byPrompt(
        loads: ServiceLoads,
        promptKey: String,
        criteria: SelectionCriteria,
        mayServe: (TargetState) -> Boolean,
    ): Int? {
        val free = loads.free()
        val usableBound = loads.bound * boundShare(criteria.tieBreaker)
        val belowBound = free.filter { loads.usual(it) + 1 <= usableBound }
            .preferring { loads.targets[it].entry.id !in criteria.avoided }
        val nameOf = { index: Int -> loads.targets[index].entry.id.value }
        val serving = belowBound.filter { mayServe(loads.targets[it]) }
        val homes = homes(loads, promptKey, criteria.promptDemand, nameOf, mayServe).filter { it in serving }
        return homes.getOrNull(criteria.tieBreaker.mod(homes.size.coerceAtLeast(1)))
            ?: RendezvousHash.first(key = promptKey, members = serving, name = nameOf)
            ?: RendezvousHash.first(key = promptKey, members = belowBound, name = nameOf)
            ?: free.minByOrNull { loads.usual(it) }
    }

    /** The targets over which [promptKey] is spread: the first ones in its order; empty if one has room for it. */
    private fun homes(
        loads: ServiceLoads,
        promptKey: String,
        demand: Double,
        nameOf: (Int) -> String,
        mayServe: (TargetState) -> Boolean,
    ): List<Int> {
        val room = loads.bound * (MIN_BOUND_SHARE + MAX_BOUND_SHARE) / 2 - loads.mean
        val count = ceil(demand / (room * PROMPT_SHARE).coerceAtLeast(1.0)).toInt()
        if (count <= 1) return emptyList()
        val serving = loads.targets.indices.filter { mayServe(loads.targets[it]) }
        return RendezvousHash.rank(key = promptKey, members = serving, name = nameOf).take(count)
    }

    /**
     * The share of the load bound up to which a request may use its first target. It differs by request, so that not
     * all routers leave a target at one time, and return to it together once it is known to have room again.
     */
    private fun boundShare(tieBreaker: Int): Double {
        val fraction = (tieBreaker * FIBONACCI_MULTIPLIER).toUInt().toDouble() / UInt.MAX_VALUE.toDouble()
        return MIN_BOUND_SHARE + (MAX_BOUND_SHARE - MIN_BOUND_SHARE) * fraction
    }

    /** The least loaded of the targets that may serve the attempt, if one of them has a free slot, else of all. */
    private fun leastLoaded(
        loads: ServiceLoads,
        criteria: SelectionCriteria,
        now: Timestamp,
        mayServe: (TargetState) -> Boolean,
    ): TargetState? {
        val targets = loads.targets
        val serving = targets.filter(mayServe)
        val free = if (serving.size < targets.size) serving.filter { it.load(now) + 1 <= it.entry.slots } else serving
        return leastLoaded(free, loads.bound, criteria, now) ?: leastLoaded(targets, loads.bound, criteria, now)
    }

    private fun leastLoaded(
        targets: List<TargetState>,
        loadBound: Double,
        criteria: SelectionCriteria,
        now: Timestamp,
    ): TargetState? = targets
        .filter { it.load(now) + 1 <= it.entry.slots * QUEUE_FACTOR }
        .preferring {
            criteria.avoided.isEmpty() || (it.entry.id !in criteria.avoided && it.load(now) + 1 <= loadBound)
        }
        .minWithOrNull(
            compareBy<TargetState> { (it.load(now) / it.entry.slots * LOAD_STEPS).toInt() }
                .thenBy { it.entry.zone != zone }
                .thenBy { (it.entry.id.value.hashCode() xor criteria.tieBreaker).mod(Int.MAX_VALUE) },
        )

    /** The elements that are [preferred], or all if none is. */
    private fun <T> List<T>.preferring(preferred: (T) -> Boolean): List<T> = filter(preferred).ifEmpty { this }

    private companion object {
        /** Range of the load bound in use, since reports are old and other routers act on them too. */
        const val MIN_BOUND_SHARE = 0.6
        const val MAX_BOUND_SHARE = 0.9

        /** Part of the room at a target that one prompt should take, as requests do not come at an even pace. */
        const val PROMPT_SHARE = 0.4

        /** 2^32 divided by the golden ratio: the products of numbers in sequence are evenly spread. */
        const val FIBONACCI_MULTIPLIER = -0x61c88647
        const val OUTLIER_ERROR_RATE = 0.3

        /** Without a prompt, a target gets attempts up to this multiple of its slots: it queues as many as it runs. */
        const val QUEUE_FACTOR = 2

        /** Steps per unit of relative load (load divided by slots); loads within the same step count as equal. */
        const val LOAD_STEPS = 6
    }
}
