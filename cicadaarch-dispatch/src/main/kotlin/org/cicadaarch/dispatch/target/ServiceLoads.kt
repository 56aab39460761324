package org.cicadaarch.dispatch.target

import org.cicadaarch.model.Timestamp

/**
 * The usual loads of [targets], as far as they are known at [now], and what follows from them for all. The [unused]
 * targets of the service get no attempts, but lower its mean load.
 */
internal class ServiceLoads(
    val targets: List<TargetState>,
    imbalanceFactor: Double,
    private val now: Timestamp,
    unused: List<TargetState> = emptyList(),
) {
    private val typicalOthers = typicalOthersInFlight()
    private val usualLoads = targets.map { it.usualLoad(typicalOthers, now) }

    /** The mean of the usual loads. */
    val mean: Double =
        (usualLoads.sum() + unused.sumOf { it.load(now) }) / (targets.size + unused.size).coerceAtLeast(1)

    /** The load that no target should exceed. */
    val bound: Double = LoadBound.of(imbalanceFactor, mean)

    /** The usual load of the target at [index]. */
    fun usual(index: Int): Double = usualLoads[index]

    /** The indices of the targets with a free slot. */
    fun free(): List<Int> = targets.indices.filter { targets[it].load(now) + 1 <= targets[it].entry.slots }

    /** The mean number of other routers' requests at a target, by the reports that still have a weight. */
    private fun typicalOthersInFlight(): Double {
        val weight = targets.sumOf { it.reportWeight(now) }
        if (weight == 0.0) return 0.0
        return targets.sumOf { it.usualOthersInFlight * it.reportWeight(now) } / weight
    }
}
