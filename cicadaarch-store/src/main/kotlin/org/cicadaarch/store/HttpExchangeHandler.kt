package org.cicadaarch.store

import io.netty.channel.ChannelHandlerContext
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.socket.ChannelInputShutdownEvent
import io.netty.handler.codec.http.FullHttpResponse
import io.netty.handler.codec.http.HttpUtil
import io.netty.util.concurrent.ScheduledFuture
import java.util.concurrent.TimeUnit
import kotlin.time.Duration

/**
 * Handles one exchange at a time on a connection. All functions run on the connection's event loop.
 */
internal class HttpExchangeHandler : SimpleChannelInboundHandler<FullHttpResponse>(FullHttpResponse::class.java) {
    private lateinit var context: ChannelHandlerContext
    private var onOutcome: ((HttpOutcome, reusable: Boolean) -> Unit)? = null
    private var timer: ScheduledFuture<*>? = null

    /** Starts to wait for a response. [onOutcome] also learns whether the connection can be reused. */
    fun begin(timeout: Duration, onOutcome: (HttpOutcome, reusable: Boolean) -> Unit) {
        check(this.onOutcome == null) { "The connection already has an exchange in progress." }
        this.onOutcome = onOutcome
        timer = context.executor().schedule(
            { endAndClose(HttpOutcome.TimedOut) },
            timeout.inWholeNanoseconds,
            TimeUnit.NANOSECONDS,
        )
    }

    override fun handlerAdded(context: ChannelHandlerContext) {
        this.context = context
    }

    override fun channelRead0(context: ChannelHandlerContext, response: FullHttpResponse) {
        val answered = HttpOutcome.Answered(response.status().code(), response.content().toString(Charsets.UTF_8))
        when {
            response.decoderResult().isFailure -> endAndClose(HttpOutcome.Broken("malformed HTTP response"))
            HttpUtil.isKeepAlive(response) -> end(answered, reusable = true)
            else -> endAndClose(answered)
        }
    }

    /** The server has ended its side in order. A response that this completes was passed on before. */
    override fun userEventTriggered(context: ChannelHandlerContext, event: Any) {
        if (event is ChannelInputShutdownEvent) endAndClose(HttpOutcome.Broken("connection closed"))
        super.userEventTriggered(context, event)
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        end(HttpOutcome.Broken("connection closed"), reusable = false)
    }

    @Deprecated("Deprecated in Netty's ChannelHandler, still called for inbound failures.")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        endAndClose(HttpOutcome.Broken(cause.toString()))
    }

    private fun endAndClose(outcome: HttpOutcome) {
        end(outcome, reusable = false)
        context.close()
    }

    private fun end(outcome: HttpOutcome, reusable: Boolean) {
        timer?.cancel(false)
        val callback = onOutcome ?: return
        onOutcome = null
        callback(outcome, reusable)
    }
}
