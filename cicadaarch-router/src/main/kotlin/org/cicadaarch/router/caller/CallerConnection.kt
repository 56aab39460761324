package org.cicadaarch.router.caller

import io.netty.buffer.CompositeByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.handler.codec.http.TooLongHttpHeaderException
import io.netty.handler.codec.http.TooLongHttpLineException
import io.netty.handler.timeout.IdleStateEvent
import io.netty.util.ReferenceCountUtil

/**
 * One caller's connection. Requests are served one after the other; a request that comes early waits unread.
 */
internal class CallerConnection(
    private val maximumBodyBytes: Int,
    private val admit: (HttpRequest, CompositeByteBuf, CallerAnswer, (Exchange) -> Unit) -> Unit,
    private val isDraining: () -> Boolean,
) : ChannelInboundHandlerAdapter() {
    private var head: HttpRequest? = null
    private var body: CompositeByteBuf? = null
    private var busy = false
    private var exchange: Exchange? = null
    private val waiting = ArrayDeque<HttpObject>()
    private var gone = false

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        when {
            message !is HttpObject || gone -> ReferenceCountUtil.release(message)

            busy -> {
                waiting += message
                context.channel().config().isAutoRead = false
            }

            else -> process(context, message)
        }
    }

    override fun channelWritabilityChanged(context: ChannelHandlerContext) {
        exchange?.onCallerWritable(context.channel().isWritable)
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        gone = true
        waiting.forEach(ReferenceCountUtil::release)
        waiting.clear()
        dropReceived()
        exchange?.onCallerGone()
    }

    override fun userEventTriggered(context: ChannelHandlerContext, event: Any) {
        val ends = event is IdleStateEvent || event is DrainIdle
        if (ends && !busy && head == null) context.close()
    }

    @Deprecated("Netty's signature")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        context.close()
    }

    private fun process(context: ChannelHandlerContext, message: HttpObject) {
        if (message is HttpRequest) receiveHead(context, message)
        if (message is HttpContent) receiveContent(context, message)
    }

    private fun receiveHead(context: ChannelHandlerContext, request: HttpRequest) {
        val failure = request.decoderResult().cause()
        when {
            failure != null -> refuse(context, errorOf(failure))

            HttpUtil.getContentLength(request, 0L) > maximumBodyBytes -> refuse(context, tooLarge())

            else -> {
                if (HttpUtil.is100ContinueExpected(request)) {
                    context.writeAndFlush(DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE))
                }
                head = request
                body = context.alloc().compositeBuffer(MAXIMUM_BODY_PARTS)
            }
        }
    }

    private fun receiveContent(context: ChannelHandlerContext, content: HttpContent) {
        val request = head
        val received = body
        when {
            request == null || received == null -> content.release()

            content.decoderResult().isFailure -> {
                content.release()
                refuse(context, badRequest())
            }

            received.readableBytes() + content.content().readableBytes() > maximumBodyBytes -> {
                content.release()
                refuse(context, tooLarge())
            }

            else -> {
                received.addComponent(true, content.content())
                if (content is LastHttpContent) complete(context, request, received)
            }
        }
    }

    private fun complete(context: ChannelHandlerContext, request: HttpRequest, received: CompositeByteBuf) {
        head = null
        body = null
        busy = true
        val keepAlive = HttpUtil.isKeepAlive(request) && !isDraining()
        val answer = CallerAnswer(context, keepAlive) { keepOpen -> finished(context, keepOpen) }
        admit(request, received, answer) { opened ->
            exchange = opened
            if (gone) opened.onCallerGone()
        }
    }

    private fun finished(context: ChannelHandlerContext, keepOpen: Boolean) {
        busy = false
        exchange = null
        if (!keepOpen || gone) return
        while (!busy && waiting.isNotEmpty()) process(context, waiting.removeFirst())
        if (waiting.isEmpty()) context.channel().config().isAutoRead = true
    }

    /** After bytes that are no request the connection's state is unknown, so it is closed. */
    private fun refuse(context: ChannelHandlerContext, error: CallerError) {
        dropReceived()
        busy = true
        CallerAnswer(context, keepAlive = false) { gone = true }.error(error)
    }

    private fun dropReceived() {
        body?.release()
        body = null
        head = null
    }

    private fun errorOf(failure: Throwable): CallerError = when (failure) {
        is TooLongHttpHeaderException -> CallerError(
            HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
            "head-too-large",
            "the request's headers are too long",
        )

        is TooLongHttpLineException -> CallerError(
            HttpResponseStatus.REQUEST_URI_TOO_LONG,
            "line-too-long",
            "the request line is too long",
        )

        else -> badRequest()
    }

    private fun badRequest(): CallerError =
        CallerError(HttpResponseStatus.BAD_REQUEST, "bad-http", "the bytes are not an HTTP/1.1 request")

    private fun tooLarge(): CallerError = CallerError(
        HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE,
        "body-too-large",
        "the request body is longer than $maximumBodyBytes bytes",
    )

    private companion object {
        const val MAXIMUM_BODY_PARTS = 1_024
    }
}
