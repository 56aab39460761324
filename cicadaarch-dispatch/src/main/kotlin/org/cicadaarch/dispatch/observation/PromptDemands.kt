package org.cicadaarch.dispatch.observation

import kotlin.time.Duration
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import org.cicadaarch.model.Timestamp

/**
 * The demand for prompts: how many requests each of them keeps running at once, by what was sent lately.
 */
data class PromptDemands(private val sums: PersistentMap<PromptId, DecayingSum> = persistentHashMapOf()) {
    /** A copy with [work], by prompt, that was sent until [now]. Only the strongest [MAX_PROMPTS] are kept. */
    fun plus(work: Map<PromptId, Duration>, now: Timestamp): PromptDemands {
        val builder = sums.builder()
        work.forEach { (prompt, time) -> builder[prompt] = (sums[prompt] ?: DecayingSum.empty(now)).plus(time, now) }
        val grown = PromptDemands(builder.build())
        return if (builder.size > 2 * MAX_PROMPTS) grown.pruned(now) else grown
    }

    /** A copy without the prompts that nobody asks for any longer. */
    fun pruned(now: Timestamp): PromptDemands {
        val kept = strongest(MAX_PROMPTS, NEGLIGIBLE, now)
        val builder = sums.builder()
        builder.keys.retainAll(kept.keys)
        return PromptDemands(builder.build())
    }

    /** The demand at [now] for the [count] prompts with most of it, where it is at least [minimum]. */
    fun strongest(count: Int, minimum: Double, now: Timestamp): Map<PromptId, Double> = sums.entries
        .map { it.key to it.value.at(now) }
        .filter { it.second >= minimum }
        .sortedByDescending { it.second }
        .take(count)
        .toMap()

    private companion object {
        const val MAX_PROMPTS = 4_096
        const val NEGLIGIBLE = 0.02
    }
}
