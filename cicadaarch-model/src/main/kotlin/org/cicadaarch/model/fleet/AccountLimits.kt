package org.cicadaarch.model.fleet

import kotlinx.serialization.Serializable

/**
 * The limits of a client account across the whole fleet; null means unlimited.
 *
 * [requestsPerSecond] and [tokensPerSecond] are sustained rates. [requestBurst] is the number of requests that may
 * arrive at once, and [concurrentRequests] the number that may be in flight or queued.
 */
@Serializable
data class AccountLimits(
    val requestsPerSecond: Double? = null,
    val requestBurst: Int? = null,
    val tokensPerSecond: Double? = null,
    val concurrentRequests: Int? = null,
)
