package org.cicadaarch.store.framing

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.DefaultHttpContent

/**
 * Decodes one body in the chunked transfer coding (RFC 9112, section 7.1). Chunk extensions and trailer fields are
 * dropped. Whatever the grammar does not allow is refused: a bare line feed, a size that is more than digits, data
 * longer than its chunk.
 */
internal class ChunkedBodyDecoder {
    private var phase = Phase.SIZE
    private var chunkBytesLeft = 0L
    private var trailerBytes = 0

    /**
     * Moves data of the body from [buffer] to [out]. Returns whether the body has ended. Throws a [FramingException]
     * if it is malformed.
     */
    fun decode(buffer: ByteBuf, out: MutableList<Any>): Boolean {
        while (phase != Phase.ENDED) {
            val hasAdvanced = when (phase) {
                Phase.SIZE -> readSize(buffer)
                Phase.DATA -> readData(buffer, out)
                Phase.DATA_END -> readDataEnd(buffer)
                Phase.TRAILERS -> readTrailer(buffer)
                Phase.ENDED -> false
            }
            if (!hasAdvanced) return false
        }
        return true
    }

    private fun readSize(buffer: ByteBuf): Boolean {
        val line = readLine(buffer) ?: return false
        chunkBytesLeft = chunkSize(line)
        phase = if (chunkBytesLeft == 0L) Phase.TRAILERS else Phase.DATA
        return true
    }

    private fun readData(buffer: ByteBuf, out: MutableList<Any>): Boolean {
        val available = minOf(chunkBytesLeft, buffer.readableBytes().toLong()).toInt()
        if (available == 0) return false
        out += DefaultHttpContent(buffer.readRetainedSlice(available))
        chunkBytesLeft -= available
        if (chunkBytesLeft == 0L) phase = Phase.DATA_END
        return true
    }

    private fun readDataEnd(buffer: ByteBuf): Boolean {
        if (buffer.readableBytes() < LINE_END_BYTES) return false
        if (buffer.readByte() != CARRIAGE_RETURN || buffer.readByte() != LINE_FEED) {
            malformed("chunk data does not end where its size says")
        }
        phase = Phase.SIZE
        return true
    }

    private fun readTrailer(buffer: ByteBuf): Boolean {
        val line = readLine(buffer) ?: return false
        trailerBytes += line.length + LINE_END_BYTES
        when {
            line.isEmpty() -> phase = Phase.ENDED
            trailerBytes > MAX_TRAILER_BYTES -> malformed("trailer fields too long")
            else -> HeadGrammar.checkField(line)
        }
        return true
    }

    /** The line at the start of [buffer] without its end, or null if it has not arrived in full. */
    private fun readLine(buffer: ByteBuf): String? {
        val length = buffer.bytesBefore(LINE_FEED)
        if (maxOf(length, 0) > MAX_LINE_BYTES || (length < 0 && buffer.readableBytes() > MAX_LINE_BYTES)) {
            malformed("line between chunks too long")
        }
        if (length < 0) return null
        val line = buffer.readCharSequence(length, Charsets.ISO_8859_1).toString()
        buffer.skipBytes(1)
        val text = line.removeSuffix("\r")
        if (text.length == line.length) malformed("line between chunks ends without carriage return")
        HeadGrammar.checkText(text)
        return text
    }

    private fun chunkSize(line: String): Long {
        val digits = line.takeWhile { it in '0'..'9' || it in 'a'..'f' || it in 'A'..'F' }
        val extensions = line.drop(digits.length)
        val significant = digits.trimStart('0')
        return when {
            digits.isEmpty() -> malformed("chunk size is no number")

            extensions.isNotEmpty() && !extensions.trimStart(' ', '\t').startsWith(';') ->
                malformed("chunk size is no number")

            significant.length > MAX_SIZE_DIGITS -> malformed("chunk size too large")

            else -> significant.ifEmpty { "0" }.toLong(HEXADECIMAL)
        }
    }

    private fun malformed(reason: String): Nothing = throw FramingException(reason)

    private enum class Phase { SIZE, DATA, DATA_END, TRAILERS, ENDED }

    private companion object {
        const val CARRIAGE_RETURN = '\r'.code.toByte()
        const val LINE_FEED = '\n'.code.toByte()
        const val LINE_END_BYTES = 2
        const val HEXADECIMAL = 16

        /** A chunk of four gigabytes: other recipients take larger sizes modulo some power of two. */
        const val MAX_SIZE_DIGITS = 8
        const val MAX_LINE_BYTES = 4_096
        const val MAX_TRAILER_BYTES = 8_192
    }
}
