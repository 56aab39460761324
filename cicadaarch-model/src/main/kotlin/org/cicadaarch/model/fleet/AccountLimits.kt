package org.cicadaarch.model.fleet

import kotlinx.serialization.Serializable

/**
 * Limits of a client account over the whole fleet; null means unlimited.
 *
 * [requestsPerSecond] and [tokensPerSecond] are long-run rates, [requestBurst] the requests that may come at once, and
 * [concurrentRequests] the requests in flight or queued.
 */
@Serializable
data class AccountLimits(
    val requestsPerSecond: Double? = null,
    val requestBurst: Int? = null,
    val tokensPerSecond: Double? = null,
    val concurrentRequests: Int? = null,
)
