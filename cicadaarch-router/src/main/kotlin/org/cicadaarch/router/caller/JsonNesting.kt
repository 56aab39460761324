package org.cicadaarch.router.caller

import io.netty.buffer.ByteBuf

/**
 * Measures how deeply JSON text is nested without parsing it.
 */
internal object JsonNesting {
    /** The most lists and objects of [text] that are open at once; brackets within strings do not count. */
    fun depth(text: ByteBuf): Int {
        var open = 0
        var deepest = 0
        var inString = false
        var escaped = false
        text.forEachByte { byte ->
            val character = byte.toInt().toChar()
            when {
                escaped -> escaped = false
                inString && character == '\\' -> escaped = true
                character == '"' -> inString = !inString
                !inString && character in "[{" -> deepest = maxOf(deepest, ++open)
                !inString && character in "]}" -> open--
            }
            true
        }
        return deepest
    }
}
