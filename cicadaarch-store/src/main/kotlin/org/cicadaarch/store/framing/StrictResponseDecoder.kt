package org.cicadaarch.store.framing

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.socket.ChannelInputShutdownEvent
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseDecoder

/**
 * Decodes responses whose end is beyond doubt; the decoder result of any other one is a failure.
 *
 * A response without a length is complete only if the sender has ended its side of the connection in order. The channel
 * must have the option ALLOW_HALF_CLOSURE: without it that end looks like a close of our own, for example after a
 * failed write.
 */
class StrictResponseDecoder : HttpResponseDecoder(HttpDecoderConfig().setHeadersFactory(HeadFields.Factory)) {
    private val body = BodyDecoder()
    private var hasReadFailed = false
    private var hasEndedInOrder = false

    /** Whether the next response belongs to a HEAD request and so has no body. Set before that request is sent. */
    var awaitsResponseToHead = false

    /** Whether bytes have been received beyond what was decoded: the start of another response. */
    val hasUnreadBytes: Boolean get() = actualReadableBytes() > 0

    override fun decode(context: ChannelHandlerContext, buffer: ByteBuf, out: MutableList<Any>) {
        if (body.isActive) return body.decode(buffer, out)
        super.decode(context, buffer, out)
        body.beginBody(buffer, out)
    }

    override fun decodeLast(context: ChannelHandlerContext, buffer: ByteBuf, out: MutableList<Any>) {
        super.decodeLast(context, buffer, out)
        if (hasEndedInOrder) body.connectionEnded(out)
    }

    /** Called by the library once it has decoded a head; what it returns keeps the library from decoding a body. */
    override fun isContentAlwaysEmpty(message: HttpMessage): Boolean {
        body.announce(BodyFraming.ofResponse(message as HttpResponse, awaitsResponseToHead))
        return true
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
}
