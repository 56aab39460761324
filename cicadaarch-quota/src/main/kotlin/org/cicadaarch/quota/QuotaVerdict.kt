package org.cicadaarch.quota

import kotlin.time.Duration

/**
 * Whether a request may start under its account's limits.
 */
sealed class QuotaVerdict {
    /** The request may start. */
    data object Allowed : QuotaVerdict()

    /** [limit] is used up here; a request may succeed after [retryAfter]. */
    data class Limited(val limit: Limit, val retryAfter: Duration) : QuotaVerdict()

    /** The limited things. */
    enum class Limit { REQUESTS, TOKENS, CONCURRENT }
}
