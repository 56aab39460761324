package org.cicadaarch.dispatch.routing

import kotlin.time.Duration
import org.cicadaarch.model.ServiceName

/**
 * Where requests to [host] with a path below [prefix] go, and under which conditions.
 *
 * A request is kept for [timeout] at most, should be answered within [latencyObjective], and may be started on
 * [maximumAttempts] targets. [priority] is 0 for the most urgent. [hasPromptAffinity] marks routes whose targets cache
 * prompts.
 */
data class Route(
    val name: String,
    val host: String,
    val prefix: String,
    val destinations: List<WeightedService>,
    val retryPolicy: RetryPolicy,
    val isStream: Boolean,
    val timeout: Duration,
    val latencyObjective: Duration,
    val priority: Int,
    val maximumAttempts: Int,
    val isPublic: Boolean,
    val hasPromptAffinity: Boolean,
) {
    private val totalWeight = destinations.sumOf { it.weight }

    init {
        require(totalWeight > 0) { "route $name goes nowhere" }
    }

    /** The service for a request with [hash], in proportion to the weights. */
    fun serviceFor(hash: Long): ServiceName {
        var rest = Math.floorMod(hash, totalWeight)
        return destinations.first { destination ->
            rest -= destination.weight
            rest < 0
        }.service
    }
}
