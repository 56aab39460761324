package org.cicadaarch.dispatch.warmup

import kotlin.math.exp
import kotlin.math.floor
import kotlin.math.ln

/**
 * The mean rate at which independent senders may send so that a limit holds in practically every interval.
 *
 * The number of requests in an interval, to which each of many senders adds at most one, has no heavier tail than the
 * Poisson distribution with the same mean.
 */
internal object RateBound {
    /** The probability with which a given interval may exceed its limit. */
    const val EXCESS_PROBABILITY = 1e-6
    private const val BISECTION_STEPS = 40

    /** Bounds the work for a limit that is practically none. */
    private const val MAX_LIMIT = 10_000.0

    /** The greatest mean number of requests in an interval that may get at most [limit]. */
    fun meanFor(limit: Double): Double {
        val excess = floor(limit.coerceIn(0.0, MAX_LIMIT)).toInt() + 1
        val logFactorial = (1..excess).sumOf { ln(it.toDouble()) }
        var low = 0.0
        var high = excess.toDouble()
        repeat(BISECTION_STEPS) {
            val middle = (low + high) / 2
            if (tail(middle, excess, logFactorial) > EXCESS_PROBABILITY) high = middle else low = middle
        }
        return low
    }

    /** An upper bound on the probability of [excess] or more at [mean]: the first term of a geometric series. */
    private fun tail(mean: Double, excess: Int, logFactorial: Double): Double =
        exp(excess * ln(mean) - mean - logFactorial) / (1 - mean / (excess + 1))
}
