package org.cicadaarch.testkit

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * The tokens of a request as its answer reports them.
 */
@Serializable
internal data class ChatUsage(
    @SerialName("prompt_tokens") val promptTokens: Int,
    @SerialName("completion_tokens") val completionTokens: Int,
    @SerialName("total_tokens") val totalTokens: Int,
    @SerialName("prompt_tokens_details") val details: Details,
) {
    @Serializable
    data class Details(@SerialName("cached_tokens") val cachedTokens: Int)

    companion object {
        /** The usage of [prompt] tokens, of which [cached] were in the cache, and [completion] tokens. */
        fun of(prompt: Int, cached: Int, completion: Int): ChatUsage =
            ChatUsage(prompt, completion, prompt + completion, Details(cached))
    }
}
