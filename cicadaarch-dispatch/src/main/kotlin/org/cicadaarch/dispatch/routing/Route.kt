package org.cicadaarch.dispatch.routing

import kotlin.time.Duration
import org.cicadaarch.model.ServiceName

/**
 * Where requests for [host] whose path starts with [prefix] are sent, and how.
 *
 * A request ends after [timeout] at the latest. It should get its response within [latencyObjective], from which the
 * timeouts for queueing and for slow attempts follow. At most [maximumAttempts] attempts may run; those that a target
 * certainly did not start are not counted. [priority] 0 is the most urgent. With [hasPromptAffinity], requests with the
 * same prompt go to the same target, which has it in its cache.
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
        require(totalWeight > 0) { "route $name has no destination with a positive weight" }
    }

    /** The service for a request with [hash], in proportion to the weights. */
    fun serviceFor(hash: Long): ServiceName {
        var remaining = Math.floorMod(hash, totalWeight)
        return destinations.first { destination ->
            remaining -= destination.weight
            remaining < 0
        }.service
    }
}
