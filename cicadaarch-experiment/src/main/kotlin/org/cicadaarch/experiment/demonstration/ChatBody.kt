package org.cicadaarch.experiment.demonstration

import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray

/**
 * The body of a streamed chat completions request.
 */
internal object ChatBody {
    /** Asks [model] for [outputTokens] tokens after [messages], each a role and its text. */
    fun of(model: String, messages: List<Pair<String, String>>, outputTokens: Int): String = buildJsonObject {
        put("model", model)
        put("stream", true)
        put("max_tokens", outputTokens)
        putJsonArray("messages") {
            messages.forEach { (role, content) ->
                addJsonObject {
                    put("role", role)
                    put("content", content)
                }
            }
        }
    }.toString()
}
