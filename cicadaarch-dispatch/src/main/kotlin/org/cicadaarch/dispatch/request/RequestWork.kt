package org.cicadaarch.dispatch.request

/**
 * The work of a request to a model engine: the [promptTokens] of the whole prompt, whether cached or not, and at most
 * [outputTokens] to generate.
 */
data class RequestWork(val promptTokens: Int, val outputTokens: Int)
