package org.cicadaarch.testkit

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonPrimitive

/**
 * A message of a chat. [content] is text or, rarely, a list of parts.
 */
@Serializable
internal data class ChatMessage(val role: String, val content: JsonElement = JsonPrimitive("")) {
    /** The content as text; a list of parts counts as its JSON. */
    val text: String get() = (content as? JsonPrimitive)?.content ?: content.toString()
}
