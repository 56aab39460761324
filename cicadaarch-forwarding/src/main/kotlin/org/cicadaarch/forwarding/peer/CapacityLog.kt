package org.cicadaarch.forwarding.peer

import kotlin.math.log2
import kotlin.math.roundToInt
import org.cicadaarch.dispatch.capacity.TargetCapacity
import org.cicadaarch.logging.LogEvents
import org.cicadaarch.model.TargetId

/**
 * Logs the capacity of a target when the binary logarithm of its share, rounded, changes, and when it has its full
 * share again.
 */
internal class CapacityLog {
    private var levels = emptyMap<TargetId, Int>()

    /**
     * Logs what [capacities], those of all targets with limited capacity, have changed since it was logged. At most
     * [MAX_LOGGED] are logged at once, the others in the next calls.
     */
    fun update(capacities: Map<TargetId, TargetCapacity>) {
        val next = capacities.mapValues { log2(it.value.share).roundToInt() }
        val changed = (levels.keys + next.keys).filter { levels[it] != next[it] }.take(MAX_LOGGED)
        changed.forEach { target ->
            LogEvents.info("target-capacity") {
                "target" to target.value
                "share" to rounded(capacities[target]?.share)
                "relativeTime" to rounded(capacities[target]?.relativeTime)
            }
        }
        levels = (levels - changed.toSet()) + next.filterKeys { it in changed }
    }

    private fun rounded(value: Double?): Double = ((value ?: 1.0) * HUNDREDTHS).roundToInt() / HUNDREDTHS

    private companion object {
        const val HUNDREDTHS = 100.0
        const val MAX_LOGGED = 8
    }
}
