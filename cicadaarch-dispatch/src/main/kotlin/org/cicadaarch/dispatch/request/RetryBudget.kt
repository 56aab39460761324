package org.cicadaarch.dispatch.request

/**
 * A token bucket that limits retries to a ratio of the requests: each request adds a fraction of a token, each retry
 * takes a whole one.
 */
data class RetryBudget(val tokens: Double) {
    /** Whether one more retry is allowed. */
    val allowsRetry: Boolean get() = tokens >= 1.0

    /** The budget after a request added [ratio] tokens, up to [capacity]. */
    fun withRequest(ratio: Double, capacity: Double): RetryBudget = RetryBudget((tokens + ratio).coerceAtMost(capacity))

    /** The budget after one retry. */
    fun withRetry(): RetryBudget = RetryBudget(tokens - 1.0)
}
