package org.cicadaarch.forwarding.client

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.socket.DuplexChannel
import io.netty.channel.socket.SocketChannelConfig
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
import java.util.concurrent.TimeUnit
import org.cicadaarch.forwarding.backlog.BacklogOwner
import org.cicadaarch.forwarding.exchange.ExchangeManager
import org.cicadaarch.forwarding.exchange.ForwardingExchange
import org.cicadaarch.forwarding.exchange.RetryAfterHeader
import org.cicadaarch.logging.LogEvents

/**
 * Handles one client connection: reads requests one at a time, passes each to a [ForwardingExchange] and writes the
 * response. Pipelined requests wait until the one before them has its response, and until the client has read most of
 * that.
 */
internal class ClientConnectionHandler(private val listener: ClientListener) :
    ChannelInboundHandlerAdapter(),
    ClientResponseWriter,
    BacklogOwner {
    private lateinit var context: ChannelHandlerContext
    private lateinit var timeouts: ClientTimeouts
    private val pipelined = PipelinedMessages(listener.exchanges.requestMemory)
    private var incoming: IncomingRequest? = null
    private var exchange: ForwardingExchange? = null
    private var closeReason = "caller-left"
    private var isKeepAlive = true
    private var isClosing = false
    private var isLingering = false

    private val canProcess: Boolean get() = exchange == null && isWritable && !isClosing

    override val isWritable: Boolean get() = context.channel().isWritable

    override var requestId: String? = null
        private set

    override val unsentBytes: Long
        get() = context.channel().unsafe().outboundBuffer()?.let { it.totalPendingWriteBytes() - it.currentProgress() }
            ?: 0

    /** Closes the connection unless a request is being read or served, or a response is being sent. */
    fun closeIfIdle() {
        val isIdle = exchange == null && incoming == null && !isLingering && unsentBytes <= 0
        if (isIdle) context.close()
    }

    /** Responds with [status] to a request that cannot be read, and closes the connection. Does so only once. */
    fun refuse(status: HttpResponseStatus) {
        if (isClosing) return
        LogEvents.info("request-unreadable") { "status" to status.code() }
        refuseAndClose(status, DefaultHttpHeadersFactory.headersFactory().newHeaders())
    }

    override fun channelActive(context: ChannelHandlerContext) {
        this.context = context
        timeouts = context.pipeline().get(ClientTimeouts::class.java)
        listener.connectionOpened(this)
    }

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        if (message !is HttpObject || isClosing) {
            ReferenceCountUtil.release(message)
        } else if (exchange != null || !isWritable || !pipelined.isEmpty) {
            enqueue(message)
        } else {
            process(message)
        }
    }

    override fun channelWritabilityChanged(context: ChannelHandlerContext) {
        listener.backlogs.update(this)
        exchange?.clientWritabilityChanged(isWritable)
        if (isWritable) processPipelined()
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        pipelined.clear()
        incoming?.body?.release()
        incoming = null
        listener.backlogs.remove(this)
        endExchange()
        listener.connectionClosed(this)
    }

    @Deprecated("Deprecated in Netty's ChannelHandler, still called for inbound failures.")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        if (cause !is IOException) LogEvents.error("caller-connection-failed", cause)
        context.close()
    }

    override fun respond(status: HttpResponseStatus, headers: HttpHeaders, body: ByteBuf) {
        headers.setInt(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes())
        val response =
            DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body, headers, EmptyHttpHeaders.INSTANCE)
        setConnectionHeader(response)
        val written = write(response)
        if (!isKeepAlive) closeAfter(written)
        finishRequest()
    }

    override fun startResponse(status: HttpResponseStatus, headers: HttpHeaders) {
        val response = DefaultHttpResponse(HttpVersion.HTTP_1_1, status, headers)
        HttpUtil.setTransferEncodingChunked(response, true)
        setConnectionHeader(response)
        context.write(response)
    }

    override fun writeContent(content: ByteBuf) {
        write(DefaultHttpContent(content))
    }

    override fun endResponse() {
        val written = write(LastHttpContent.EMPTY_LAST_CONTENT)
        if (!isKeepAlive) closeAfter(written)
        finishRequest()
    }

    override fun abort() {
        exchange = null
        isClosing = true
        context.close()
    }

    override fun abortUnread() {
        closeReason = "response-unread"
        isClosing = true
        // Discards what the kernel has buffered for the client, too.
        (context.channel().config() as? SocketChannelConfig)?.soLinger = 0
        endExchange()
        context.close()
    }

    private fun endExchange() {
        val ended = exchange ?: return
        exchange = null
        listener.exchanges.clientDisconnected(ended, closeReason)
    }

    private fun write(part: HttpObject): ChannelFuture {
        requestId = exchange?.requestId
        return context.writeAndFlush(part).also { listener.backlogs.update(this) }
    }

    private fun setConnectionHeader(response: HttpResponse) {
        if (listener.isDraining) isKeepAlive = false
        if (!isKeepAlive) response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
    }

    private fun finishRequest() {
        exchange = null
        if (!isKeepAlive) {
            isClosing = true
            return
        }
        timeouts.requestFinished()
        processPipelined()
    }

    private fun processPipelined() {
        while (!pipelined.isEmpty && canProcess) process(pipelined.removeFirst())
        context.channel().config().isAutoRead = exchange != null || isWritable || isClosing
    }

    private fun enqueue(message: HttpObject) {
        if (!pipelined.add(message)) context.close()
    }

    /** There is no memory for the request, which was not read in full and so is not run. */
    private fun refuseForMemory() {
        val status = HttpResponseStatus.SERVICE_UNAVAILABLE
        listener.exchanges.recordRefusal(status, "no-memory")
        val headers = DefaultHttpHeadersFactory.headersFactory().newHeaders()
        headers.set(HttpHeaderNames.RETRY_AFTER, RetryAfterHeader.text(ExchangeManager.RETRY_AFTER))
        refuseAndClose(status, headers)
    }

    private fun refuseAndClose(status: HttpResponseStatus, headers: HttpHeaders) {
        incoming?.body?.release()
        incoming = null
        isKeepAlive = false
        isClosing = true
        isLingering = true
        respond(status, headers, Unpooled.EMPTY_BUFFER)
    }

    /** Closes the connection after the response that [written] completes. */
    private fun closeAfter(written: ChannelFuture) {
        if (isLingering) written.addListener { linger() } else written.addListener(ChannelFutureListener.CLOSE)
    }

    /**
     * Ends this side of the connection, and drops what the client still sends for as long as a head may take: if unread
     * bytes were left when the connection is closed, the client would receive a reset in place of the response.
     */
    private fun linger() {
        val channel = context.channel() as? DuplexChannel ?: return
        channel.shutdownOutput()
        val lingerTime = listener.limits.headerTimeout.inWholeMilliseconds
        context.executor().schedule({ context.close() }, lingerTime, TimeUnit.MILLISECONDS)
    }

    private fun process(message: HttpObject) {
        if (message.decoderResult().isFailure) {
            ReferenceCountUtil.release(message)
            refuse(statusFor(message.decoderResult().cause()))
            return
        }
        if (message is HttpRequest) onRequestHead(message)
        if (message is HttpContent) onRequestContent(message)
    }

    private fun onRequestHead(request: HttpRequest) {
        timeouts.requestHeadRead()
        isKeepAlive = HttpUtil.isKeepAlive(request)
        val length = HttpUtil.getContentLength(request, 0L)
        when {
            length > listener.limits.bodyBytes -> refuse(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE)

            request.headers().getAll(HttpHeaderNames.HOST).size != 1 -> refuse(HttpResponseStatus.BAD_REQUEST)

            else -> {
                incoming = IncomingRequest(request, RequestBody(listener.exchanges.requestMemory))
                if (HttpUtil.is100ContinueExpected(request)) context.writeAndFlush(continueResponse())
            }
        }
    }

    private fun onRequestContent(part: HttpContent) {
        val current = incoming
        if (current == null) {
            part.release()
            return
        }
        val hasMemory = current.body.add(part.content())
        part.release()
        if (current.body.bytes.readableBytes() > listener.limits.bodyBytes) {
            refuse(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE)
        } else if (!hasMemory) {
            refuseForMemory()
        } else if (part is LastHttpContent) {
            incoming = null
            timeouts.requestRead()
            val head = current.head
            val opened =
                ForwardingExchange(ClientRequest(head.method(), head.uri(), head.headers(), current.body), this)
            exchange = opened
            if (listener.isStopped) listener.exchanges.refuseStopping(opened) else listener.exchanges.open(opened)
        }
    }

    private fun statusFor(cause: Throwable?): HttpResponseStatus = when (cause) {
        is TooLongHttpHeaderException -> HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
        is TooLongHttpLineException -> HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
        else -> HttpResponseStatus.BAD_REQUEST
    }

    private fun continueResponse() =
        DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER)

    private class IncomingRequest(val head: HttpRequest, val body: RequestBody)
}
