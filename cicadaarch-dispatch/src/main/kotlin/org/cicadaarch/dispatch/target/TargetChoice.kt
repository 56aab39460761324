package org.cicadaarch.dispatch.target

import org.cicadaarch.model.TargetId
import org.cicadaarch.model.Timestamp
import org.cicadaarch.model.ZoneName
import org.cicadaarch.placement.RendezvousHash

/**
 * Chooses the target of an attempt from the states of a service's targets, or none when all are full.
 *
 * Requests with a prompt go to the first of their rendezvous order that is below the load bound, so that equal prompts
 * meet the cache of one target. Others go to the least loaded target, on a tie in the own [zone].
 */
class TargetChoice(private val zone: ZoneName, private val imbalanceFactor: Double) {
    /** The target for [wish] among [targets]. */
    fun choose(targets: Collection<TargetState>, wish: TargetWish, now: Timestamp): TargetState? {
        val usable = usable(targets, wish, now)
        return if (wish.promptKey == null) leastLoaded(usable, wish, now) else byPrompt(usable, wish.promptKey, now)
    }

    /**
     * The target from which [chosen] could copy what is cached of [promptKey]: the one that served it last, else the
     * best of its rendezvous order, which is its earlier home when [chosen] has just joined.
     */
    fun cacheSource(
        targets: Collection<TargetState>,
        promptKey: String,
        chosen: TargetId,
        holder: TargetId?,
        now: Timestamp,
    ): TargetState? {
        val others = targets.filter { it.entry.id != chosen && !it.isAvoided(now) && !it.isSilent(now) }
        return others.firstOrNull { it.entry.id == holder }
            ?: RendezvousHash.first(key = promptKey, members = others, name = { it.entry.id.value })
    }

    private fun usable(targets: Collection<TargetState>, wish: TargetWish, now: Timestamp): List<TargetState> {
        val open = targets.filter { !it.entry.isDraining && it.entry.id !in wish.excluded }
        val meanErrorRate = open.sumOf { it.errorRate } / open.size.coerceAtLeast(1)
        val sound = open.filter { !it.isAvoided(now) && !it.isSilent(now) && !isOutlier(it, meanErrorRate) }
        return sound.ifEmpty { open.filter { !it.isAvoided(now) } }.ifEmpty { open }
    }

    private fun isOutlier(target: TargetState, meanErrorRate: Double): Boolean =
        target.errorRate > OUTLIER_ERROR_RATE && target.errorRate > 2 * meanErrorRate

    private fun byPrompt(targets: List<TargetState>, key: String, now: Timestamp): TargetState? {
        val mean = targets.sumOf { it.load(now) } / targets.size.coerceAtLeast(1)
        val bound = imbalanceFactor * mean + LOAD_BOUND_SLACK
        val free = targets.filter { it.load(now) + 1 <= it.entry.slots }
        return RendezvousHash.rank(key = key, members = free, name = { it.entry.id.value })
            .firstOrNull { it.load(now) + 1 <= bound }
            ?: free.minByOrNull { it.load(now) }
    }

    private fun leastLoaded(targets: List<TargetState>, wish: TargetWish, now: Timestamp): TargetState? = targets
        .filter { it.load(now) + 1 <= it.entry.slots * QUEUE_FACTOR }
        .minWithOrNull(
            compareBy<TargetState> { (it.load(now) / it.entry.slots * LOAD_STEPS).toInt() }
                .thenBy { it.entry.zone != zone }
                .thenBy { (it.entry.id.value.hashCode() xor wish.spread).mod(Int.MAX_VALUE) },
        )

    private companion object {
        /** Requests that a target may have beyond the multiple, which is too strict for small means. */
        const val LOAD_BOUND_SLACK = 3.0
        const val OUTLIER_ERROR_RATE = 0.3

        /** A plain target may have as many requests waiting as it runs. */
        const val QUEUE_FACTOR = 2

        /** Loads that differ by less than a step count as equal. */
        const val LOAD_STEPS = 6
    }
}
