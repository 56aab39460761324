package org.cicadaarch.testkit

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * What the engine reads of a chat completions request.
 */
@Serializable
internal data class ChatRequest(
    val model: String = "",
    val messages: List<ChatMessage>,
    val stream: Boolean = false,
    @SerialName("max_tokens") val maximumTokens: Int? = null,
)
