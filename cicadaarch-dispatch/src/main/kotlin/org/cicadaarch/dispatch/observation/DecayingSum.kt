package org.cicadaarch.dispatch.observation

import kotlin.math.exp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import org.cicadaarch.model.Timestamp

/**
 * A sum of work over the last second or so, as the number of requests that it keeps running at once: [value] as of
 * [at]. The weight of an amount falls to 1/e within [MEMORY].
 */
data class DecayingSum(private val value: Double, private val at: Timestamp) {
    /** The sum at [now]. */
    fun at(now: Timestamp): Double =
        value * exp(-(now.milliseconds - at.milliseconds) / MEMORY.inWholeMilliseconds.toDouble())

    /** The sum with [work] that was sent at [now]. */
    fun plus(work: Duration, now: Timestamp) = DecayingSum(at(now) + work / MEMORY, now)

    companion object {
        /** Several requests for a prompt in demand fall into this time, and demand that has ended is soon forgotten. */
        val MEMORY = 1_000.milliseconds

        /** The sum without any work. */
        fun empty(now: Timestamp) = DecayingSum(value = 0.0, at = now)
    }
}
