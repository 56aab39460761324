package org.cicadaarch.quota

import kotlin.time.Duration

/**
 * Whether a request may start under its account's limits.
 */
sealed class QuotaDecision {
    /** The request may start. */
    data object Allowed : QuotaDecision()

    /** [limit] is used up here; a request may succeed after [retryAfter]. */
    data class Limited(val limit: Limit, val retryAfter: Duration) : QuotaDecision()

    /** The limited things. */
    enum class Limit { REQUESTS, TOKENS, CONCURRENT }
}
