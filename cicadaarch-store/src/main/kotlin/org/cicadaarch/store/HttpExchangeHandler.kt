package org.cicadaarch.store

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.socket.ChannelInputShutdownEvent
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpStatusClass
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.concurrent.ScheduledFuture
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import org.cicadaarch.store.framing.StrictResponseDecoder

/**
 * Handles one exchange at a time on a connection and collects its response, whose bytes [memory] limits. All functions
 * run on the connection's event loop.
 *
 * The connection is closed if it receives anything while no exchange is in progress, and is not reused if [decoder]
 * holds bytes beyond the response.
 */
internal class HttpExchangeHandler(private val decoder: StrictResponseDecoder, private val memory: MemoryBudget) :
    SimpleChannelInboundHandler<HttpObject>(HttpObject::class.java) {
    private lateinit var context: ChannelHandlerContext
    private var onOutcome: ((HttpOutcome, reusable: Boolean) -> Unit)? = null
    private var timer: ScheduledFuture<*>? = null
    private var head: HttpResponse? = null
    private var body: ByteBuf = Unpooled.EMPTY_BUFFER
    private var interimBytes = 0

    /** Whether the connection can carry another exchange. */
    val isAvailable: Boolean get() = context.channel().isActive && onOutcome == null && !decoder.hasUnreadBytes

    /** Starts to wait for a response. [onOutcome] also learns whether the connection can be reused. */
    fun begin(timeout: Duration, onOutcome: (HttpOutcome, reusable: Boolean) -> Unit) {
        check(this.onOutcome == null) { "The connection already has an exchange in progress." }
        this.onOutcome = onOutcome
        interimBytes = 0
        timer = context.executor().schedule(
            { endAndClose(HttpOutcome.TimedOut) },
            timeout.inWholeNanoseconds,
            TimeUnit.NANOSECONDS,
        )
    }

    override fun handlerAdded(context: ChannelHandlerContext) {
        this.context = context
    }

    override fun channelRead0(context: ChannelHandlerContext, part: HttpObject) {
        when {
            onOutcome == null -> context.close()
            part.decoderResult().isFailure -> endAndClose(HttpOutcome.Broken("malformed HTTP response"))
            part is HttpResponse -> onHead(part)
        }
        if (part is HttpContent && onOutcome != null) onContent(part)
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

    private fun onHead(response: HttpResponse) {
        if (response.status().codeClass() != HttpStatusClass.INFORMATIONAL) {
            head = response
            return
        }
        interimBytes += INTERIM_RESPONSE_BYTES
        if (interimBytes > MAX_INTERIM_BYTES) endAndClose(HttpOutcome.Broken("too many interim responses"))
    }

    private fun onContent(part: HttpContent) {
        val response = head ?: return
        val before = body.readableBytes()
        val after = before + part.content().readableBytes()
        if (!memory.resize(before, after)) return endAndClose(HttpOutcome.Broken("response too large"))
        if (after > before) {
            if (before == 0) body = Unpooled.buffer(after)
            body.writeBytes(part.content())
        }
        if (part is LastHttpContent) onComplete(response)
    }

    private fun onComplete(response: HttpResponse) {
        val answered = HttpOutcome.Answered(
            status = response.status().code(),
            body = body.toString(Charsets.UTF_8),
            headers = response.headers().associate { it.key.lowercase() to it.value },
        )
        val isReusable = HttpUtil.isKeepAlive(response) && !decoder.hasUnreadBytes && context.channel().isActive
        if (isReusable) end(answered, reusable = true) else endAndClose(answered)
    }

    private fun endAndClose(outcome: HttpOutcome) {
        end(outcome, reusable = false)
        context.close()
    }

    private fun end(outcome: HttpOutcome, reusable: Boolean) {
        timer?.cancel(false)
        releaseResponse()
        val callback = onOutcome ?: return
        onOutcome = null
        callback(outcome, reusable)
    }

    private fun releaseResponse() {
        memory.resize(before = body.readableBytes(), after = 0)
        body.release()
        body = Unpooled.EMPTY_BUFFER
        head = null
    }

    private companion object {
        const val INTERIM_RESPONSE_BYTES = 64
        const val MAX_INTERIM_BYTES = 4 * 1024
    }
}
