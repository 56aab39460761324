package org.cicadaarch.dispatch.request

/**
 * The work of a request to a model engine: [promptTokens] to read, as far as they are not cached, and at most
 * [outputTokens] to generate.
 */
data class RequestWork(val promptTokens: Int, val outputTokens: Int)
