package org.cicadaarch.logging

/**
 * Builds the key=value pairs of a log line. Null values are left out; values with spaces or quotes are quoted.
 */
class LogFields {
    private val line = StringBuilder()

    /** Adds a pair. */
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
