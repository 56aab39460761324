package org.cicadaarch.forwarding.caller

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.DefaultHttpHeadersFactory
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.EmptyHttpHeaders
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.handler.codec.http.TooLongHttpHeaderException
import io.netty.handler.codec.http.TooLongHttpLineException
import io.netty.util.ReferenceCountUtil
import java.io.IOException
import org.cicadaarch.forwarding.exchange.Exchange
import org.cicadaarch.logging.LogEvents

/**
 * One connection of a caller: reads requests one after the other, hands each to an exchange and writes its answer.
 */
internal class CallerHandler(private val listener: CallerListener) :
    ChannelInboundHandlerAdapter(),
    CallerLink {
    private lateinit var context: ChannelHandlerContext
    private lateinit var timeouts: CallerTimeouts
    private val waiting = ArrayDeque<HttpObject>()
    private var incoming: IncomingRequest? = null
    private var exchange: Exchange? = null
    private var isKeepAlive = true
    private var isClosing = false

    override val isWritable: Boolean get() = context.channel().isWritable

    /** Closes the connection if no request is being read or answered. */
    fun closeIfIdle() {
        if (exchange == null && incoming == null) context.close()
    }

    /** Ends a request that cannot be read with [status] and closes the connection. */
    fun refuse(status: HttpResponseStatus) {
        incoming?.body?.release()
        incoming = null
        isKeepAlive = false
        LogEvents.info("request-unreadable") { "status" to status.code() }
        answer(status, DefaultHttpHeadersFactory.headersFactory().newHeaders(), Unpooled.EMPTY_BUFFER)
    }

    override fun channelActive(context: ChannelHandlerContext) {
        this.context = context
        timeouts = context.pipeline().get(CallerTimeouts::class.java)
        listener.opened(this)
    }

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        if (message !is HttpObject || isClosing) {
            ReferenceCountUtil.release(message)
        } else if (exchange != null) {
            keepForLater(message)
        } else {
            read(message)
        }
    }

    override fun channelWritabilityChanged(context: ChannelHandlerContext) {
        exchange?.callerWritable(context.channel().isWritable)
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        waiting.forEach { ReferenceCountUtil.release(it) }
        waiting.clear()
        incoming?.body?.release()
        incoming = null
        exchange?.let { listener.exchanges.callerLeft(it) }
        exchange = null
        listener.closed(this)
    }

    @Deprecated("Deprecated in Netty's ChannelHandler, still called for inbound failures.")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        if (cause !is IOException) LogEvents.error("caller-connection-failed", cause)
        context.close()
    }

    override fun answer(status: HttpResponseStatus, headers: HttpHeaders, body: ByteBuf) {
        headers.setInt(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes())
        val response =
            DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body, headers, EmptyHttpHeaders.INSTANCE)
        markLast(response)
        val written = context.writeAndFlush(response)
        if (!isKeepAlive) written.addListener(ChannelFutureListener.CLOSE)
        requestDone()
    }

    override fun begin(status: HttpResponseStatus, headers: HttpHeaders) {
        val response = DefaultHttpResponse(HttpVersion.HTTP_1_1, status, headers)
        HttpUtil.setTransferEncodingChunked(response, true)
        markLast(response)
        context.write(response)
    }

    override fun write(content: ByteBuf) {
        context.writeAndFlush(DefaultHttpContent(content))
    }

    override fun end() {
        val written = context.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT)
        if (!isKeepAlive) written.addListener(ChannelFutureListener.CLOSE)
        requestDone()
    }

    override fun breakOff() {
        exchange = null
        isClosing = true
        context.close()
    }

    private fun markLast(response: HttpResponse) {
        if (listener.isDraining) isKeepAlive = false
        if (!isKeepAlive) response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
    }

    private fun requestDone() {
        exchange = null
        if (!isKeepAlive) {
            isClosing = true
            return
        }
        timeouts.requestDone()
        while (waiting.isNotEmpty() && exchange == null && !isClosing) read(waiting.removeFirst())
    }

    private fun keepForLater(message: HttpObject) {
        waiting.addLast(message)
        if (waiting.size > MOST_WAITING_PARTS) context.close()
    }

    private fun read(message: HttpObject) {
        if (message.decoderResult().isFailure) {
            ReferenceCountUtil.release(message)
            refuse(statusOf(message.decoderResult().cause()))
            return
        }
        if (message is HttpRequest) headRead(message)
        if (message is HttpContent) bodyRead(message)
    }

    private fun headRead(request: HttpRequest) {
        timeouts.headRead()
        isKeepAlive = HttpUtil.isKeepAlive(request)
        val length = HttpUtil.getContentLength(request, 0L)
        when {
            length > listener.limits.bodyBytes -> refuse(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE)

            request.headers().getAll(HttpHeaderNames.HOST).size != 1 -> refuse(HttpResponseStatus.BAD_REQUEST)

            else -> {
                incoming = IncomingRequest(request, Unpooled.buffer(length.toInt()))
                if (HttpUtil.is100ContinueExpected(request)) context.writeAndFlush(continuation())
            }
        }
    }

    private fun bodyRead(part: HttpContent) {
        val current = incoming
        if (current == null) {
            part.release()
            return
        }
        current.body.writeBytes(part.content())
        part.release()
        if (current.body.readableBytes() > listener.limits.bodyBytes) {
            refuse(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE)
        } else if (part is LastHttpContent) {
            incoming = null
            timeouts.requestRead()
            val head = current.head
            val opened = Exchange(CallerRequest(head.method(), head.uri(), head.headers(), current.body), this)
            exchange = opened
            if (listener.isStopped) listener.exchanges.refuseStopped(opened) else listener.exchanges.open(opened)
        }
    }

    private fun statusOf(cause: Throwable?): HttpResponseStatus = when (cause) {
        is TooLongHttpHeaderException -> HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
        is TooLongHttpLineException -> HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
        else -> HttpResponseStatus.BAD_REQUEST
    }

    private fun continuation() =
        DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER)

    private class IncomingRequest(val head: HttpRequest, val body: ByteBuf)

    private companion object {
        const val MOST_WAITING_PARTS = 64
    }
}
