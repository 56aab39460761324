package org.cicadaarch.dispatch.capacity

import kotlin.math.pow
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * The response times of a target, relative to what was expected: the [samples] by weight, and their [total]. The weight
 * of a sample halves every [HALF_LIFE], so it states the age of the sample as well.
 */
data class RelativeTimes(val samples: Double = 0.0, val total: Double = 0.0) {
    /** The mean relative time; null without enough samples. */
    val mean: Double? get() = if (samples >= MIN_SAMPLES) total / samples else null

    /** The same times after [time] has passed. */
    fun aged(time: Duration): RelativeTimes = times(0.5.pow(time / HALF_LIFE))

    /** These times and [other]. */
    fun plus(other: RelativeTimes) = RelativeTimes(samples + other.samples, total + other.total)

    /** The same mean with at most [maximum] samples. */
    fun limitedTo(maximum: Double): RelativeTimes = if (samples > maximum) times(maximum / samples) else this

    /** One of [count] equal parts. */
    fun dividedBy(count: Int): RelativeTimes = times(1.0 / count)

    private fun times(factor: Double) = RelativeTimes(samples * factor, total * factor)

    companion object {
        val HALF_LIFE = 1_000.milliseconds

        /** With fewer samples, one long response would make a target slow. */
        const val MIN_SAMPLES = 1.5

        /** The relative time of a failed attempt, and the longest one that counts: one sample must not decide. */
        const val MAX_TIME = 6.0
        private const val MIN_TIME = 0.1

        /** One sample of [relativeTime] with [weight]. */
        fun sample(relativeTime: Double, weight: Double = 1.0): RelativeTimes {
            val time = if (relativeTime.isNaN()) 1.0 else relativeTime.coerceIn(MIN_TIME, MAX_TIME)
            return RelativeTimes(weight, time * weight)
        }

        /** The times that another router states, within what is possible. */
        fun ofStated(samples: Double, total: Double, maxSamples: Double): RelativeTimes {
            val count = if (samples.isNaN()) 0.0 else samples.coerceIn(0.0, maxSamples)
            val mean = if (samples > 0) total / samples else 1.0
            return sample(mean, weight = count)
        }
    }
}
