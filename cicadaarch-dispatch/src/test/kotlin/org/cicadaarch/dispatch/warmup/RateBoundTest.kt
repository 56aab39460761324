package org.cicadaarch.dispatch.warmup

import kotlin.math.exp
import kotlin.test.Test
import kotlin.test.assertTrue

class RateBoundTest {
    /** Guards against routers whose independent requests exceed the limit by chance. */
    @Test
    fun `Given a limit, when requests come at the mean for it, then practically no interval exceeds it`() {
        for (limit in listOf(1.0, 3.5, 8.0, 11.0, 20.0, 80.0)) {
            val mean = RateBound.meanFor(limit)
            assertTrue(1 - poissonSum(mean, limit.toInt()) <= RateBound.EXCESS_PROBABILITY * 1.001, "limit $limit")
            assertTrue(1 - poissonSum(mean * 1.2, limit.toInt()) > RateBound.EXCESS_PROBABILITY, "limit $limit")
        }
    }

    /** The probability of at most [count] at [mean]. */
    private fun poissonSum(mean: Double, count: Int): Double {
        var term = exp(-mean)
        var sum = term
        for (number in 1..count) {
            term *= mean / number
            sum += term
        }
        return sum
    }
}
