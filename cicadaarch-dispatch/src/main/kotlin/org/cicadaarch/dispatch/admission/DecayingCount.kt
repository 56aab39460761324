package org.cicadaarch.dispatch.admission

import kotlin.math.exp
import kotlin.time.Duration
import org.cicadaarch.model.Timestamp

/**
 * A sum whose amounts lose weight with time: [value] as of [at].
 */
data class DecayingCount(private val value: Double = 0.0, private val at: Timestamp = Timestamp(0)) {
    /** The sum at [now], if the weight of an amount falls to 1/e within [memory]. */
    fun at(now: Timestamp, memory: Duration): Double = if (value == 0.0) {
        0.0
    } else {
        value * exp(-(now.milliseconds - at.milliseconds) / memory.inWholeMilliseconds.toDouble())
    }

    /** The sum with [amount], added at [now]. */
    fun plus(amount: Double, now: Timestamp, memory: Duration) = DecayingCount(at(now, memory) + amount, now)
}
