package org.cicadaarch.store.framing

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.TooLongHttpHeaderException
import io.netty.handler.codec.http.TooLongHttpLineException

/**
 * Collects the lines of one message head after another from the bytes of a connection (RFC 9112, section 2.1).
 *
 * A line ends with a carriage return and a line feed. A line feed without one, and any other control character but a
 * tab, is refused, as recipients disagree on what they mean. The start line may have [maxStartLineBytes], all field
 * lines together [maxFieldBytes].
 */
internal class HeadReader(private val maxStartLineBytes: Int, private val maxFieldBytes: Int) {
    private var lines = mutableListOf<String>()
    private var fieldBytes = 0

    /** Whether a part of a head has been taken from the connection's bytes. */
    val isInsideHead: Boolean get() = lines.isNotEmpty()

    /**
     * Takes lines from [buffer]. Returns those of a whole head, without the empty line after it, or null if the head
     * has not arrived in full; the list is empty if an empty line stands in place of a head. Throws a
     * [FramingException], or the library's exception for a head that is too long.
     */
    fun read(buffer: ByteBuf): List<String>? {
        while (true) {
            val line = readLine(buffer) ?: return null
            if (line.isEmpty()) return takeLines()
            if (isInsideHead) fieldBytes += line.length
            lines += line
        }
    }

    private fun takeLines(): List<String> = lines.also {
        lines = mutableListOf()
        fieldBytes = 0
    }

    private fun readLine(buffer: ByteBuf): String? {
        val length = buffer.bytesBefore(LINE_FEED)
        checkLength(if (length < 0) buffer.readableBytes() else length)
        if (length < 0) return null
        val start = buffer.readerIndex()
        val textLength = length - 1
        if (textLength < 0 || buffer.getByte(start + textLength) != CARRIAGE_RETURN) {
            throw FramingException("line ends without carriage return")
        }
        buffer.skipBytes(length + 1)
        return buffer.toString(start, textLength, Charsets.ISO_8859_1).also { HeadGrammar.checkText(it) }
    }

    private fun checkLength(bytes: Int) {
        if (!isInsideHead && bytes > maxStartLineBytes) throw TooLongHttpLineException("first line too long")
        if (isInsideHead && fieldBytes + bytes > maxFieldBytes) throw TooLongHttpHeaderException("fields too long")
    }

    private companion object {
        const val LINE_FEED = '\n'.code.toByte()
        const val CARRIAGE_RETURN = '\r'.code.toByte()
    }
}
