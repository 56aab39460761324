package org.cicadaarch.router.target

import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.socket.ChannelInputShutdownEvent
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpStatusClass
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import org.cicadaarch.request.AttemptFailure

/**
 * Hands one answer of a target to its listener, then gives the connection back through [keep].
 */
internal class TargetAnswerHandler(
    private val call: TargetCall,
    private val listener: TargetAnswerListener,
    private val keep: (Channel) -> Unit,
) : ChannelInboundHandlerAdapter() {
    private var finished = false
    private var keepAlive = false

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        if (finished || call.cancelled || isInformational(message)) {
            ReferenceCountUtil.release(message)
            return
        }
        if (message is HttpResponse) {
            if (message.decoderResult().isFailure) {
                fail(context)
                return
            }
            keepAlive = HttpUtil.isKeepAlive(message)
            listener.onHead(message)
        }
        if (message is HttpContent) content(context, message)
    }

    /** The target has ended its side in order. An answer that this completes was handed on before. */
    override fun userEventTriggered(context: ChannelHandlerContext, event: Any) {
        if (event is ChannelInputShutdownEvent) fail(context)
        super.userEventTriggered(context, event)
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        fail(context)
    }

    @Deprecated("Netty's signature")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        fail(context)
    }

    private fun content(context: ChannelHandlerContext, message: HttpContent) {
        when {
            message.decoderResult().isFailure -> {
                message.release()
                fail(context)
            }

            else -> {
                listener.onContent(message.content())
                if (message is LastHttpContent) complete(context)
            }
        }
    }

    private fun complete(context: ChannelHandlerContext) {
        finished = true
        call.detach()
        context.pipeline().remove(this)
        if (keepAlive) keep(context.channel()) else context.close()
        listener.onCompleted()
    }

    private fun fail(context: ChannelHandlerContext) {
        if (finished) return
        finished = true
        call.detach()
        context.close()
        if (!call.cancelled) listener.onFailed(AttemptFailure.ConnectionLost)
    }

    private fun isInformational(message: Any): Boolean =
        message is HttpResponse && message.status().codeClass() == HttpStatusClass.INFORMATIONAL
}
