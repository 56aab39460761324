package org.cicadaarch.dispatch.request

/**
 * Attempts that may still be sent after the first ones, as a bucket that each request fills by a ratio.
 */
data class RetryBudget(val tokens: Double) {
    /** Whether one more attempt is allowed. */
    val allowsOne: Boolean get() = tokens >= 1.0

    /** The budget after a request arrived. */
    fun earned(ratio: Double, most: Double): RetryBudget = RetryBudget((tokens + ratio).coerceAtMost(most))

    /** The budget after an attempt was spent. */
    fun spent(): RetryBudget = RetryBudget(tokens - 1.0)
}
