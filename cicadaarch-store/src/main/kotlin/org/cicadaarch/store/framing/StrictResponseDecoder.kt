package org.cicadaarch.store.framing

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.socket.ChannelInputShutdownEvent
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpVersion

/**
 * Decodes responses whose head is sound and whose end is beyond doubt; the decoder result of any other one is a
 * failure.
 *
 * A status line within a head is the start of another message, so that the fields after it belong to that one: the
 * sender broke off the first one. Such a head is refused even where the grammar allows it, in a value or a reason
 * phrase.
 *
 * A response without a length is complete only if the sender has ended its side of the connection in order. The channel
 * must have the option ALLOW_HALF_CLOSURE: without it that end looks like a close of our own, for example after a
 * failed write.
 */
class StrictResponseDecoder : StrictMessageDecoder(MAX_STATUS_LINE_BYTES, MAX_FIELD_BYTES) {
    private var hasReadFailed = false
    private var hasEndedInOrder = false

    /** Whether the next response belongs to a HEAD request and so has no body. Set before that request is sent. */
    var awaitsResponseToHead = false

    internal override val skipsEmptyLines = false

    internal override fun message(startLine: String, fields: HttpHeaders): HttpMessage {
        val line = HeadGrammar.statusLine(startLine)
        checkUntorn(line.status.reasonPhrase())
        for (field in fields.iteratorCharSequence()) checkUntorn(field.value)
        return DefaultHttpResponse(line.version, line.status, fields)
    }

    internal override fun framing(message: HttpMessage): BodyFraming =
        BodyFraming.ofResponse(message as HttpResponse, awaitsResponseToHead)

    internal override fun placeholder(): HttpMessage =
        DefaultFullHttpResponse(HttpVersion.HTTP_1_0, HttpResponseStatus.BAD_GATEWAY)

    override fun decodeLast(context: ChannelHandlerContext, buffer: ByteBuf, out: MutableList<Any>) {
        super.decodeLast(context, buffer, out)
        if (hasEndedInOrder) body.connectionEnded(out)
    }

    private fun checkUntorn(text: CharSequence) {
        if (VERSION in text && STATUS_LINE.containsMatchIn(text)) throw FramingException("status line within a head")
    }

    /** The transport reports a reset as a failure first and then as the end of the input. */
    override fun userEventTriggered(context: ChannelHandlerContext, event: Any) {
        if (event is ChannelInputShutdownEvent) hasEndedInOrder = !hasReadFailed
        super.userEventTriggered(context, event)
    }

    @Deprecated("Deprecated in Netty's ChannelHandler, still called for inbound failures.")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        hasReadFailed = true
        context.fireExceptionCaught(cause)
    }

    private companion object {
        const val MAX_STATUS_LINE_BYTES = 4_096
        const val MAX_FIELD_BYTES = 8_192
        const val VERSION = "HTTP/"
        val STATUS_LINE = Regex("$VERSION[0-9]\\.[0-9] [0-9]{3}")
    }
}
