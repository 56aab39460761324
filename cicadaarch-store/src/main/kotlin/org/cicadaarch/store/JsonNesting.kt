package org.cicadaarch.store

import io.netty.buffer.ByteBuf

/**
 * Measures how deeply JSON text is nested without parsing it. Parsers call themselves for each level, so text that is
 * nested deeply enough overflows the stack.
 */
object JsonNesting {
    /** The most lists and objects of [text] that are open at once; brackets within strings do not count. */
    fun depth(text: CharSequence): Int = Meter().also { meter -> text.forEach { meter.add(it) } }.deepest

    /** The most lists and objects of [text], in UTF-8, that are open at once; brackets within strings do not count. */
    fun depth(text: ByteBuf): Int {
        val meter = Meter()
        text.forEachByte { byte ->
            meter.add(byte.toInt().toChar())
            true
        }
        return meter.deepest
    }

    private class Meter {
        var deepest = 0
            private set
        private var open = 0
        private var inString = false
        private var escaped = false

        fun add(character: Char) {
            when {
                escaped -> escaped = false
                inString && character == '\\' -> escaped = true
                character == '"' -> inString = !inString
                inString -> Unit
                character == '[' || character == '{' -> deepest = maxOf(deepest, ++open)
                character == ']' || character == '}' -> open--
            }
        }
    }
}
