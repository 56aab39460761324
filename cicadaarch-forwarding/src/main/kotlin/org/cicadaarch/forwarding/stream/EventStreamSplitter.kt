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

    /** Whether no event shares the memory of [buffered], so that it may grow. */
    private var isGrowable = false

    /** Bytes at the start of [buffered] in which no event ends. */
    private var scannedBytes = 0

    /** The length of what was received of an incomplete event. */
    val bufferedBytes: Int get() = buffered.readableBytes()

    /** Whether a part of an event was received, not just line ends between events. */
    val isInsideEvent: Boolean get() = buffered.forEachByte { it == LINE_FEED || it == CARRIAGE_RETURN } >= 0

    /**
     * Returns the events that [content] completes. Takes ownership of [content]; the caller must release the events.
     */
    fun add(content: ByteBuf): List<ByteBuf> {
        append(content)
        val events = mutableListOf<ByteBuf>()
        while (true) {
            val length = eventLength()
            if (length < 0) break
            events += buffered.readRetainedSlice(length)
            isGrowable = false
            scannedBytes = 0
        }
        return events
    }

    /** Returns what was received of an incomplete event; the caller must release it. */
    fun takeRemainder(): ByteBuf = buffered.also { reset() }

    /** Releases what was received of an incomplete event. */
    fun close() {
        buffered.release()
        reset()
    }

    private fun reset() {
        buffered = Unpooled.EMPTY_BUFFER
        isGrowable = false
        scannedBytes = 0
    }

    private fun append(content: ByteBuf) {
        if (!buffered.isReadable) {
            close()
            buffered = content
            return
        }
        if (!isGrowable) {
            val copy = Unpooled.buffer(buffered.readableBytes() + content.readableBytes())
            copy.writeBytes(buffered)
            buffered.release()
            buffered = copy
            isGrowable = true
        }
        buffered.writeBytes(content)
        content.release()
    }

    /** The length of the first event, or a negative number if it is incomplete. */
    private fun eventLength(): Int {
        var position = buffered.readerIndex() + scannedBytes
        while (true) {
            val newline = buffered.forEachByte(position, buffered.writerIndex() - position, ByteProcessor.FIND_LF)
            if (newline < 0) {
                scannedBytes = buffered.readableBytes()
                return INCOMPLETE
            }
            val end = lineEndAfter(newline)
            if (end == INCOMPLETE) scannedBytes = newline - buffered.readerIndex()
            if (end != NO_LINE_END) return if (end == INCOMPLETE) INCOMPLETE else end - buffered.readerIndex()
            position = newline + 1
        }
    }

    /**
     * The position after the line end that follows [newline] directly, [NO_LINE_END] if there is none, or [INCOMPLETE]
     * if the next bytes decide.
     */
    private fun lineEndAfter(newline: Int): Int {
        val last = buffered.writerIndex() - 1
        val next = if (newline < last) buffered.getByte(newline + 1) else return INCOMPLETE
        return when {
            next == LINE_FEED -> newline + 2
            next != CARRIAGE_RETURN -> NO_LINE_END
            newline + 1 == last -> INCOMPLETE
            buffered.getByte(newline + 2) == LINE_FEED -> newline + CRLF_END_LENGTH
            else -> NO_LINE_END
        }
    }

    private companion object {
        const val LINE_FEED = '\n'.code.toByte()
        const val CARRIAGE_RETURN = '\r'.code.toByte()
        const val CRLF_END_LENGTH = 3
        const val INCOMPLETE = -1
        const val NO_LINE_END = -2
    }
}
