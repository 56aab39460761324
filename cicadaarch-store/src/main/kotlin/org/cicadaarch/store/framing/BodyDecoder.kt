package org.cicadaarch.store.framing

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.handler.codec.DecoderResult
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.DefaultLastHttpContent
import io.netty.handler.codec.http.LastHttpContent

/**
 * Decodes the bodies of the messages on one connection. After a malformed message nothing more is decoded.
 */
internal class BodyDecoder {
    private var current: BodyFraming? = null
    private var chunks = ChunkedBodyDecoder()
    private var bytesLeft = 0L
    private var hasFailed = false

    /** Whether the next bytes belong to a body or follow a malformed message. */
    val isActive: Boolean get() = current != null || hasFailed

    /** Begins with a body with [framing] and moves what there is of it from [buffer] to [out]. */
    fun begin(framing: BodyFraming, buffer: ByteBuf, out: MutableList<Any>) {
        when (framing) {
            is BodyFraming.Length -> bytesLeft = framing.bytes
            BodyFraming.Chunked -> chunks = ChunkedBodyDecoder()
            BodyFraming.UntilClose -> Unit
        }
        current = framing
        decode(buffer, out)
    }

    /** Moves the next part of the body from [buffer] to [out]. */
    fun decode(buffer: ByteBuf, out: MutableList<Any>) {
        val framing = current
        if (hasFailed || framing == null) {
            buffer.skipBytes(buffer.readableBytes())
            return
        }
        try {
            if (decode(framing, buffer, out)) end(out)
        } catch (error: FramingException) {
            fail()
            buffer.skipBytes(buffer.readableBytes())
            out +=
                DefaultLastHttpContent(Unpooled.EMPTY_BUFFER).also { it.decoderResult = DecoderResult.failure(error) }
        }
    }

    /** The message is malformed: all bytes that follow are dropped. */
    fun fail() {
        hasFailed = true
    }

    /** The connection has ended in order, which completes a body without a length. */
    fun connectionEnded(out: MutableList<Any>) {
        if (current == BodyFraming.UntilClose && !hasFailed) end(out)
    }

    private fun decode(framing: BodyFraming, buffer: ByteBuf, out: MutableList<Any>): Boolean = when (framing) {
        is BodyFraming.Length -> {
            bytesLeft -= move(minOf(bytesLeft, buffer.readableBytes().toLong()).toInt(), buffer, out)
            bytesLeft == 0L
        }

        BodyFraming.Chunked -> chunks.decode(buffer, out)

        BodyFraming.UntilClose -> {
            move(buffer.readableBytes(), buffer, out)
            false
        }
    }

    private fun move(bytes: Int, buffer: ByteBuf, out: MutableList<Any>): Int {
        if (bytes > 0) out += DefaultHttpContent(buffer.readRetainedSlice(bytes))
        return bytes
    }

    private fun end(out: MutableList<Any>) {
        current = null
        out += LastHttpContent.EMPTY_LAST_CONTENT
    }
}
