package org.cicadaarch.store

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonObject

/**
 * Decodes JSON text that another program wrote.
 */
object UntrustedJson {
    /** Far more levels than any value has that programs of the fleet exchange. */
    const val MAX_DEPTH = 32

    /** Error messages of the parser repeat the text, which may be long. */
    private const val MAX_MESSAGE = 200

    /**
     * Passes [text] to [decode], which decodes it into classes that are no trees: for these the parser calls itself no
     * deeper than their fields are nested. Returns an error message if [decode] throws an [IllegalArgumentException].
     */
    fun <T> decode(text: String, decode: (String) -> T): Either<String, T> = errorOrResult { decode(text) }

    /**
     * Parses [text] as an object and passes it to [decode]. Returns an error message if the text has more than
     * [maxLength] characters, is nested deeper than [MAX_DEPTH] or is no object, or if [decode] throws an
     * [IllegalArgumentException].
     */
    fun <T> decodeObject(text: String, maxLength: Int, decode: (JsonObject) -> T): Either<String, T> {
        if (text.length > maxLength) return "it has ${text.length} characters, allowed are $maxLength".left()
        if (JsonNesting.depth(text) > MAX_DEPTH) return "it is nested deeper than $MAX_DEPTH levels".left()
        return errorOrResult { decode(Json.parseToJsonElement(text).jsonObject) }
    }

    private fun <T> errorOrResult(action: () -> T): Either<String, T> = try {
        action().right()
    } catch (exception: IllegalArgumentException) {
        (exception.message ?: exception.javaClass.simpleName).lineSequence().first().take(MAX_MESSAGE).left()
    }
}
