package org.cicadaarch.quota

import kotlin.time.Duration

/**
 * Whether a request may start under the limits of its account.
 */
sealed class QuotaDecision {
    /** The request may start. */
    data object Allowed : QuotaDecision()

    /** [limit] is exhausted at this ingress. A retry may succeed after [retryAfter]. */
    data class Limited(val limit: Limit, val retryAfter: Duration) : QuotaDecision()

    /** The limited resources. */
    enum class Limit { REQUESTS, TOKENS, CONCURRENT }
}
