package org.cicadaarch.experiment.demonstration

import org.cicadaarch.model.Outcome

/**
 * What one request got from a router. [outcome] is null when the connection broke before the router told one.
 */
internal data class CallerAnswer(
    val outcome: Outcome?,
    val text: String,
    val firstByteMilliseconds: Long?,
    val promptTokens: Int = 0,
    val cachedTokens: Int = 0,
)
