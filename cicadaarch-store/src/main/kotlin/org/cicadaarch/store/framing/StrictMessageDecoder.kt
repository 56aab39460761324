package org.cicadaarch.store.framing

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.ByteToMessageDecoder
import io.netty.handler.codec.DecoderResult
import io.netty.handler.codec.TooLongFrameException
import io.netty.handler.codec.http.DefaultHttpHeadersFactory
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMessage

/**
 * Decodes the messages on one connection into the HTTP library's types. It reads heads by [HeadGrammar] and bodies by
 * [BodyDecoder], as the library's own decoder accepts heads that are none and guesses where a body ends.
 *
 * A malformed message becomes one whose decoder result is a failure, and nothing after it is decoded.
 */
abstract class StrictMessageDecoder internal constructor(maxStartLineBytes: Int, maxFieldBytes: Int) :
    ByteToMessageDecoder() {
    private val head = HeadReader(maxStartLineBytes, maxFieldBytes)
    internal val body = BodyDecoder()

    /** Whether bytes have been received beyond the last whole message. */
    val hasUnreadBytes: Boolean get() = actualReadableBytes() > 0 || head.isInsideHead

    /** The message with the first line [startLine] and [fields]. */
    internal abstract fun message(startLine: String, fields: HttpHeaders): HttpMessage

    /** How the end of the body after [message] is found. */
    internal abstract fun framing(message: HttpMessage): BodyFraming

    /** A message that stands for a malformed one. */
    internal abstract fun placeholder(): HttpMessage

    /** Whether an empty line before a message is skipped, and not malformed. */
    internal abstract val skipsEmptyLines: Boolean

    override fun decode(context: ChannelHandlerContext, buffer: ByteBuf, out: MutableList<Any>) {
        if (body.isActive) return body.decode(buffer, out)
        try {
            val lines = head.read(buffer) ?: return
            if (lines.isNotEmpty()) headRead(lines, buffer, out) else checkEmptyLine()
        } catch (error: FramingException) {
            refuse(error, buffer, out)
        } catch (error: TooLongFrameException) {
            refuse(error, buffer, out)
        }
    }

    private fun checkEmptyLine() {
        if (!skipsEmptyLines) throw FramingException("empty line in place of a message")
    }

    private fun headRead(lines: List<String>, buffer: ByteBuf, out: MutableList<Any>) {
        val message = message(lines.first(), fieldsOf(lines))
        val framing = framing(message)
        out += message
        body.begin(framing, buffer, out)
    }

    private fun fieldsOf(lines: List<String>): HttpHeaders {
        val headers = DefaultHttpHeadersFactory.headersFactory().newHeaders()
        for (index in 1 until lines.size) HeadGrammar.addField(lines[index], headers)
        return headers
    }

    private fun refuse(error: Exception, buffer: ByteBuf, out: MutableList<Any>) {
        body.fail()
        buffer.skipBytes(buffer.readableBytes())
        out += placeholder().also { it.decoderResult = DecoderResult.failure(error) }
    }
}
