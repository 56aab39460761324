package org.cicadaarch.store

import arrow.core.Either
import arrow.core.left
import arrow.core.right

/**
 * Decodes JSON text that another program wrote.
 */
object UntrustedJson {
    /** Far more levels than any value has that programs of the fleet exchange. */
    const val MAX_DEPTH = 32

    /**
     * Passes [text] to [decode], which parses and checks it. Returns an error message if the text has more than
     * [maxLength] characters, is nested deeper than [MAX_DEPTH], or if [decode] throws an [IllegalArgumentException].
     */
    fun <T> decode(text: String, maxLength: Int = Int.MAX_VALUE, decode: (String) -> T): Either<String, T> {
        if (text.length > maxLength) return "it has ${text.length} characters, allowed are $maxLength".left()
        if (JsonNesting.depth(text) > MAX_DEPTH) return "it is nested deeper than $MAX_DEPTH levels".left()
        return try {
            decode(text).right()
        } catch (exception: IllegalArgumentException) {
            (exception.message ?: exception.javaClass.simpleName).lineSequence().first().take(MAX_MESSAGE).left()
        }
    }

    /** Error messages of the parser repeat the text, which may be long. */
    private const val MAX_MESSAGE = 200
}
