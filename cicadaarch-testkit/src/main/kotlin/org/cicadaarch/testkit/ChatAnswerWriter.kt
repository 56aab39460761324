package org.cicadaarch.testkit

import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonObjectBuilder
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.encodeToJsonElement
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import kotlinx.serialization.json.putJsonObject

/**
 * Writes an answer in the OpenAI chat completions format: as one JSON body, or as server-sent events when [streaming].
 */
internal class ChatAnswerWriter(
    private val exchange: StandInExchange,
    private val id: String,
    private val model: String,
    private val streaming: Boolean,
) {
    private val text = StringBuilder()
    private var hasBegun = false

    /** Adds [token] to the answer. */
    fun token(token: String) {
        if (streaming) writeEvent(chunk(token)) else text.append(token)
    }

    /** Ends the answer with its [usage]. */
    fun finish(usage: ChatUsage) {
        if (!streaming) return exchange.answerText(completion(usage).toString())
        writeEvent(lastChunk(usage))
        exchange.writeChunk("data: [DONE]\n\n")
        exchange.endStream()
    }

    private fun writeEvent(body: JsonObject) {
        if (!hasBegun) exchange.beginStream("text/event-stream")
        hasBegun = true
        exchange.writeChunk("data: $body\n\n")
    }

    private fun chunk(token: String): JsonObject = body("chat.completion.chunk") {
        putJsonObject("delta") {
            if (!hasBegun) put("role", "assistant")
            put("content", token)
        }
        put("finish_reason", null as String?)
    }

    private fun lastChunk(usage: ChatUsage): JsonObject = body("chat.completion.chunk", usage) {
        putJsonObject("delta") {}
        put("finish_reason", "stop")
    }

    private fun completion(usage: ChatUsage): JsonObject = body("chat.completion", usage) {
        putJsonObject("message") {
            put("role", "assistant")
            put("content", text.toString())
        }
        put("finish_reason", "stop")
    }

    private fun body(kind: String, usage: ChatUsage? = null, fillChoice: JsonObjectBuilder.() -> Unit): JsonObject =
        buildJsonObject {
            put("id", id)
            put("object", kind)
            put("created", System.currentTimeMillis() / MILLISECONDS_PER_SECOND)
            put("model", model)
            putJsonArray("choices") {
                addJsonObject {
                    put("index", 0)
                    fillChoice()
                }
            }
            if (usage != null) put("usage", testkitJson.encodeToJsonElement(usage))
        }

    private companion object {
        const val MILLISECONDS_PER_SECOND = 1000
    }
}
