package org.cicadaarch.store.framing

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.handler.codec.DecoderResult
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.DefaultLastHttpContent
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent

/**
 * Decodes the bodies of the messages on one connection in place of the HTTP library, which guesses where a body ends if
 * its head leaves that in doubt.
 *
 * The library decodes heads only. It is told of each head that no body follows; so it adds an empty end of the message,
 * which [beginBody] takes back. After a malformed body nothing more is decoded.
 */
internal class BodyDecoder {
    private var announced: BodyFraming? = null
    private var current: BodyFraming? = null
    private var chunks = ChunkedBodyDecoder()
    private var bytesLeft = 0L
    private var hasFailed = false

    /** Whether the next bytes belong to a body or follow a malformed one. */
    val isActive: Boolean get() = current != null || hasFailed

    /** A head was decoded, after which comes a body with [framing]. */
    fun announce(framing: BodyFraming) {
        announced = framing
    }

    /** Begins with the body of the head that the library has added to [out], if it has added one. */
    fun beginBody(buffer: ByteBuf, out: MutableList<Any>) {
        val framing = announced ?: return
        announced = null
        out.removeAt(out.lastIndex)
        when (framing) {
            is BodyFraming.Length -> bytesLeft = framing.bytes

            BodyFraming.Chunked -> {
                chunks = ChunkedBodyDecoder()
                HttpUtil.setTransferEncodingChunked(out.last() as HttpMessage, true)
            }

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
            hasFailed = true
            out +=
                DefaultLastHttpContent(Unpooled.EMPTY_BUFFER).also { it.decoderResult = DecoderResult.failure(error) }
        }
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
