package org.cicadaarch.logging

/**
 * Builds the key=value pairs of a log line. Pairs with a null value are omitted. Empty values and values with
 * whitespace, quotes, equals signs or control characters are quoted.
 */
class LogFields {
    private val line = StringBuilder()

    /** Adds a pair with this key, unless [value] is null. */
    infix fun String.to(value: Any?) {
        if (value == null) return
        if (line.isNotEmpty()) line.append(' ')
        line.append(this).append('=').append(quoted(value.toString()))
    }

    override fun toString(): String = line.toString()

    private fun quoted(text: String): String = if (text.isNotEmpty() && text.none(::needsQuotes)) {
        text
    } else {
        text.map(::escaped).joinToString(separator = "", prefix = "\"", postfix = "\"")
    }

    private fun needsQuotes(character: Char): Boolean =
        character in "\"=" || character.isWhitespace() || character.isISOControl()

    private fun escaped(character: Char): String = when {
        character == '"' -> "\\\""
        character == '\\' -> "\\\\"
        character == '\n' -> "\\n"
        character.isISOControl() -> "?"
        else -> character.toString()
    }
}
