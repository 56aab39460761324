package org.cicadaarch.testkit

import kotlinx.serialization.json.JsonPrimitive

/**
 * A request on its way through an engine. [firstToken] is where its answer starts and [lastToken] where it ends,
 * exclusive. [cachedTokens] and [number] are known once it has a slot.
 */
internal class EngineRun(
    val exchange: StandInExchange,
    val request: ChatRequest,
    val firstToken: Int,
    val lastToken: Int,
) {
    val bodyHash: String = BodyHash.of(exchange.body)
    val prefixes: List<CachePrefix> = CachePrefix.of(request.messages)
    val promptTokens: Int = prefixes.sumOf { it.tokens }
    val writer = ChatAnswerWriter(exchange, "chatcmpl-${bodyHash.take(ID_DIGITS)}", request.model, request.stream)
    var cachedTokens = 0
    var number: Int? = null
    var nextToken = firstToken
    var isOver = false

    /** The tokens to read before the first is written. */
    val prefillTokens: Int get() = promptTokens - cachedTokens + firstToken

    /** The chat's prefixes with the answer as its last message. */
    fun prefixesWithAnswer(): List<CachePrefix> {
        val answer = (0 until lastToken).joinToString(separator = "") { AnswerText.token(bodyHash, it) }
        return prefixes + prefixes.last().then(ChatMessage("assistant", JsonPrimitive(answer)))
    }

    private companion object {
        const val ID_DIGITS = 16
    }
}
