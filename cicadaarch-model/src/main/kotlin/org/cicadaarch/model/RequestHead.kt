package org.cicadaarch.model

import kotlin.time.Duration
import kotlinx.serialization.Serializable

/**
 * What routing decisions need to know of a request; the body stays with the ingress.
 *
 * [timeAllowed] is counted from arrival at the ingress until the first byte of the answer. [promptTokens] and
 * [outputTokens] are estimates by the ingress.
 */
@Serializable
data class RequestHead(
    val id: RequestId,
    val account: AccountId,
    val service: ServiceName,
    val chat: ChatId?,
    val turn: Int?,
    val priority: Priority,
    val idempotency: Idempotency,
    val timeAllowed: Duration,
    val promptTokens: Int,
    val outputTokens: Int,
    val fingerprint: Fingerprint,
    val streaming: Boolean,
)
