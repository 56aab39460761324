package org.cicadaarch.dispatch.observation

import kotlin.time.Duration.Companion.seconds
import org.cicadaarch.model.Timestamp

/**
 * The demand of the whole fleet for prompts, as of [observedAt]: how many requests each prompt keeps running at once.
 */
data class FleetDemands(
    private val demands: Map<PromptId, Double> = emptyMap(),
    private val observedAt: Timestamp = Timestamp(0),
) {
    /** The demand for [prompt], 0 if it is small or was observed too long ago. */
    fun of(prompt: PromptId, now: Timestamp): Double = if (now - observedAt > LIFETIME) 0.0 else demands[prompt] ?: 0.0

    private companion object {
        val LIFETIME = 3.seconds
    }
}
