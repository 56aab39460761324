package org.cicadaarch.model

import kotlin.time.Duration
import kotlinx.serialization.Serializable

/**
 * The properties of a request that routing decisions use. The body stays in the router that received the request, its
 * ingress.
 *
 * [timeAllowed] is the time from the arrival at the ingress until the first byte of the response is due. [promptTokens]
 * and [outputTokens] are estimates of the ingress. A [turn] above 1 means that the [chat] has earlier turns.
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
