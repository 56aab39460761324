package org.cicadaarch.forwarding.stream

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.util.ByteProcessor

/**
 * Splits a stream of server-sent events into complete events, each with its closing empty line, so that a broken stream
 * never leaves the client with a part of an event.
 */
class EventStreamSplitter {
    private var buffered: ByteBuf = Unpooled.EMPTY_BUFFER

    /**
     * Returns the events that [content] completes. Takes ownership of [content]; the caller must release the events.
     */
    fun add(content: ByteBuf): List<ByteBuf> {
        buffered = when {
            buffered.isReadable -> Unpooled.wrappedBuffer(buffered, content)
            else -> content.also { buffered.release() }
        }
        val events = mutableListOf<ByteBuf>()
        while (true) {
            val length = eventLength()
            if (length < 0) break
            events += buffered.readRetainedSlice(length)
        }
        return events
    }

    /** Returns what was received of an incomplete event; the caller must release it. */
    fun takeRemainder(): ByteBuf = buffered.also { buffered = Unpooled.EMPTY_BUFFER }

    /** Releases what was received of an incomplete event. */
    fun close() {
        buffered.release()
        buffered = Unpooled.EMPTY_BUFFER
    }

    private fun eventLength(): Int {
        var position = buffered.readerIndex()
        while (true) {
            val newline = buffered.forEachByte(position, buffered.writerIndex() - position, ByteProcessor.FIND_LF)
            if (newline < 0 || newline + 1 >= buffered.writerIndex()) return -1
            val next = buffered.getByte(newline + 1)
            if (next == LINE_FEED) return newline + 2 - buffered.readerIndex()
            val isCarriageReturn = next == CARRIAGE_RETURN && newline + 2 < buffered.writerIndex()
            if (isCarriageReturn && buffered.getByte(newline + 2) == LINE_FEED) {
                return newline + CRLF_END_LENGTH - buffered.readerIndex()
            }
            position = newline + 1
        }
    }

    private companion object {
        const val LINE_FEED = '\n'.code.toByte()
        const val CARRIAGE_RETURN = '\r'.code.toByte()
        const val CRLF_END_LENGTH = 3
    }
}
