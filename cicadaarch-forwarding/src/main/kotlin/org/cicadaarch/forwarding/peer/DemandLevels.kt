package org.cicadaarch.forwarding.peer

import kotlin.math.ln
import org.cicadaarch.dispatch.observation.PromptId

/**
 * Tells when the demand for a prompt has risen so far that other routers are to know at once: beyond [minimum], and
 * then each time that it has doubled.
 */
internal class DemandLevels(private val minimum: Double) {
    private var announced = emptyMap<PromptId, Int>()

    /** Whether one of [demands] has reached a higher level than at the last call. */
    fun haveRisen(demands: Map<PromptId, Double>): Boolean {
        val levels = demands.filterValues { it >= minimum }.mapValues { (ln(it.value / minimum) / ln(2.0)).toInt() }
        val haveRisen = levels.any { (prompt, level) -> level > (announced[prompt] ?: -1) }
        announced = levels
        return haveRisen
    }
}
