package org.cicadaarch.router

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive

/**
 * An HTTP answer as read from the socket.
 */
data class RawAnswer(val status: Int, val headers: Map<String, String>, val body: String) {
    /** The code of the router's own error. */
    val errorCode: String? get() = json(body).getValue("error").jsonObject["code"]?.jsonPrimitive?.contentOrNull

    /** The model's text, of a whole or of a streamed answer. */
    val text: String get() = if (body.startsWith("data:")) streamedText() else content(json(body), "message")

    private fun streamedText(): String = body.lineSequence()
        .filter { it.startsWith("data: {\"id\"") }
        .joinToString(separator = "") { content(json(it.removePrefix("data: ")), "delta") }

    private fun content(json: JsonObject, field: String): String = json.getValue("choices").jsonArray
        .joinToString("") { it.jsonObject.getValue(field).jsonObject["content"]?.jsonPrimitive?.content.orEmpty() }

    private fun json(text: String): JsonObject = Json.parseToJsonElement(text).jsonObject
}
