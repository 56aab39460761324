package org.cicadaarch.experiment.demonstration

import org.cicadaarch.model.Outcome
import org.cicadaarch.model.RequestId

/**
 * What one request got from a router. [outcome] is null when the connection broke before the router told one, and
 * [request] when it broke before the head of the answer. A request that was not [isSent] reached no router.
 * [failure] names the error that broke the connection.
 */
internal data class CallerAnswer(
    val outcome: Outcome?,
    val text: String,
    val firstByteMilliseconds: Long?,
    val promptTokens: Int = 0,
    val cachedTokens: Int = 0,
    val request: RequestId? = null,
    val isSent: Boolean = true,
    val failure: String? = null,
)
