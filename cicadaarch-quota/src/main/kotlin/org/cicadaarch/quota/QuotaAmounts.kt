package org.cicadaarch.quota

import kotlinx.serialization.Serializable
import org.cicadaarch.model.fleet.AccountLimits

/**
 * Amounts of the three limited resources: requests per second, tokens per second, and concurrent requests (in flight or
 * queued).
 */
@Serializable
data class QuotaAmounts(val requests: Double = 0.0, val tokens: Double = 0.0, val concurrent: Double = 0.0) {
    operator fun plus(other: QuotaAmounts) = combine(other) { a, b -> a + b }

    operator fun minus(other: QuotaAmounts) = combine(other) { a, b -> a - b }

    operator fun times(factor: Double) = QuotaAmounts(requests * factor, tokens * factor, concurrent * factor)

    internal fun combine(other: QuotaAmounts, operation: (Double, Double) -> Double) = QuotaAmounts(
        requests = operation(requests, other.requests),
        tokens = operation(tokens, other.tokens),
        concurrent = operation(concurrent, other.concurrent),
    )

    companion object {
        /** Represents the absence of a limit. Finite, so that sums and differences never become NaN. */
        const val UNLIMITED = 1e12

        val ZERO = QuotaAmounts()

        /** Converts [limits] to amounts. */
        fun of(limits: AccountLimits) = QuotaAmounts(
            requests = limits.requestsPerSecond ?: UNLIMITED,
            tokens = limits.tokensPerSecond ?: UNLIMITED,
            concurrent = limits.concurrentRequests?.toDouble() ?: UNLIMITED,
        )
    }
}
