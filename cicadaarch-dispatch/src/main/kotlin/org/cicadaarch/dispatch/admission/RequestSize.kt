package org.cicadaarch.dispatch.admission

import org.cicadaarch.dispatch.request.DispatchRequest
import org.cicadaarch.dispatch.request.RequestWork

/**
 * The size of a request to a model engine, as the number of prompt tokens that take as long.
 */
internal object RequestSize {
    /** A token is generated in about the time in which so many are read. */
    private const val OUTPUT_WEIGHT = 30.0

    /** The size of [request], 0 if it does not state its work. */
    fun of(request: DispatchRequest): Double =
        request.work?.let { request.uncachedTokens(it) + it.outputTokens * OUTPUT_WEIGHT } ?: 0.0

    private fun DispatchRequest.uncachedTokens(work: RequestWork): Int =
        (work.promptTokens - sharedPromptTokens).coerceAtLeast(0)
}
