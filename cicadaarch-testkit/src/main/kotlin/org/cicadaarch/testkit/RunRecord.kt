package org.cicadaarch.testkit

import kotlinx.serialization.Serializable

/**
 * A request that a target ran. Times are milliseconds of the wall clock; [finished] is null while it runs or when the
 * target crashed. [request], [attempt] and [idempotencyKey] repeat the request's headers.
 */
@Serializable
data class RunRecord(
    val request: String?,
    val attempt: String?,
    val idempotencyKey: String? = null,
    val started: Long,
    val finished: Long? = null,
    val cancelled: Boolean = false,
    val tokens: Int = 0,
)
