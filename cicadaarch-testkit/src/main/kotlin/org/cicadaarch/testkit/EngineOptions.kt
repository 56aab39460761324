package org.cicadaarch.testkit

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * How an engine behaves.
 *
 * [slots] requests run at once; prompts are read one after another at [prefillTokensPerSecond], and each running
 * request writes a token every [decodeInterval]. [cacheTokens] bounds the prefix cache. Reports of load lag by
 * [loadLag]; cache events come after [eventLag], and a share of [eventGapShare] is left out, chosen by [seed].
 */
data class EngineOptions(
    val slots: Int = 8,
    val prefillTokensPerSecond: Int = 20_000,
    val decodeInterval: Duration = 5.milliseconds,
    val cacheTokens: Int = 100_000,
    val defaultOutputTokens: Int = 16,
    val loadLag: Duration = Duration.ZERO,
    val eventLag: Duration = Duration.ZERO,
    val eventGapShare: Double = 0.0,
    val seed: Long = 1,
    val checksFencing: Boolean = false,
) {
    init {
        require(slots > 0) { "An engine needs a slot." }
        require(prefillTokensPerSecond > 0) { "An engine reads at least one token per second." }
        require(defaultOutputTokens > 0) { "An answer has at least one token." }
        require(eventGapShare in 0.0..1.0) { "The share of missing events is between zero and one." }
    }
}
