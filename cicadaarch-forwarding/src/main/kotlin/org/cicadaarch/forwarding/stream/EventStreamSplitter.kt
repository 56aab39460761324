package org.cicadaarch.forwarding.stream

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.util.ByteProcessor

/**
 * Cuts the bytes of a server-sent event stream into whole events, each with its closing empty line, so that a broken
 * stream never leaves half an event with the caller.
 */
class EventStreamSplitter {
    private var rest: ByteBuf = Unpooled.EMPTY_BUFFER

    /** The events that [content] completes; takes ownership of [content] and gives that of the events. */
    fun add(content: ByteBuf): List<ByteBuf> {
        rest = if (rest.isReadable) Unpooled.wrappedBuffer(rest, content) else content.also { rest.release() }
        val events = mutableListOf<ByteBuf>()
        while (true) {
            val length = endOfEvent()
            if (length < 0) break
            events += rest.readRetainedSlice(length)
        }
        return events
    }

    /** What is left of an unfinished event, which is then the caller's to release. */
    fun takeRest(): ByteBuf = rest.also { rest = Unpooled.EMPTY_BUFFER }

    /** Drops what is left of an unfinished event. */
    fun close() {
        rest.release()
        rest = Unpooled.EMPTY_BUFFER
    }

    private fun endOfEvent(): Int {
        var position = rest.readerIndex()
        while (true) {
            val newline = rest.forEachByte(position, rest.writerIndex() - position, ByteProcessor.FIND_LF)
            if (newline < 0 || newline + 1 >= rest.writerIndex()) return -1
            val next = rest.getByte(newline + 1)
            if (next == LINE_FEED) return newline + 2 - rest.readerIndex()
            val isReturn = next == CARRIAGE_RETURN && newline + 2 < rest.writerIndex()
            if (isReturn &&
                rest.getByte(newline + 2) == LINE_FEED
            ) {
                return newline + LENGTH_WITH_RETURN - rest.readerIndex()
            }
            position = newline + 1
        }
    }

    private companion object {
        const val LINE_FEED = '\n'.code.toByte()
        const val CARRIAGE_RETURN = '\r'.code.toByte()
        const val LENGTH_WITH_RETURN = 3
    }
}
