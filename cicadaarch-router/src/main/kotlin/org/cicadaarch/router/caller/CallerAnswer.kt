package org.cicadaarch.router.caller

import io.netty.buffer.ByteBuf
import io.netty.buffer.ByteBufUtil
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.EventLoop
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.DefaultLastHttpContent
import io.netty.handler.codec.http.EmptyHttpHeaders
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonObject
import org.cicadaarch.model.RequestId
import org.cicadaarch.protocol.ClientHeaders

/**
 * Writes the answer to one request on the caller's connection, then calls [onFinished] with whether it stays open.
 */
class CallerAnswer(
    private val context: ChannelHandlerContext,
    private val keepAlive: Boolean,
    private val onFinished: (Boolean) -> Unit,
) {
    /** The event loop of the caller's connection. */
    val eventLoop: EventLoop get() = context.channel().eventLoop()

    /** Whether the caller keeps up with what is written. */
    val isWritable: Boolean get() = context.channel().isWritable

    /** Whether the answer that was begun is a stream of server-sent events. */
    var isEventStream: Boolean = false
        private set

    /** Writes the head of an answer whose length is not known. */
    fun begin(status: HttpResponseStatus, headers: HttpHeaders, isEventStream: Boolean) {
        this.isEventStream = isEventStream
        val response = DefaultHttpResponse(HttpVersion.HTTP_1_1, status, headers)
        response.headers()[HttpHeaderNames.TRANSFER_ENCODING] = HttpHeaderValues.CHUNKED
        setConnectionHeader(response)
        context.writeAndFlush(response)
    }

    /** Writes a part of the body; takes ownership of [content]. */
    fun write(content: ByteBuf) {
        context.writeAndFlush(DefaultHttpContent(content))
    }

    /** Ends a begun answer, after [closing] if there is any. */
    fun finish(closing: ByteBuf?) {
        val last = if (closing == null) LastHttpContent.EMPTY_LAST_CONTENT else DefaultLastHttpContent(closing)
        context.writeAndFlush(last).addListener { finished(keepAlive) }
    }

    /** Ends a begun answer that is not whole: after [closing] for a stream, by closing the connection otherwise. */
    fun abort(closing: ByteBuf?) {
        if (closing == null) {
            context.close()
            finished(false)
        } else {
            finish(closing)
        }
    }

    /** Writes a whole answer; takes ownership of [body]. */
    fun whole(status: HttpResponseStatus, headers: HttpHeaders, body: ByteBuf) {
        val response = DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            status,
            body,
            headers,
            EmptyHttpHeaders.INSTANCE,
        )
        response.headers()[HttpHeaderNames.CONTENT_LENGTH] = body.readableBytes()
        setConnectionHeader(response)
        context.writeAndFlush(response).addListener { finished(keepAlive) }
    }

    /** Writes an answer of the router's own, in JSON. */
    fun error(error: CallerError, request: RequestId? = null) {
        val json = buildJsonObject {
            putJsonObject("error") {
                put("code", error.code)
                put("message", error.message)
                put("outcome", error.outcome.label)
                if (request != null) put("request", request.value)
            }
        }
        val headers = DefaultHttpHeaders()
        headers[HttpHeaderNames.CONTENT_TYPE] = HttpHeaderValues.APPLICATION_JSON
        headers[ClientHeaders.OUTCOME] = error.outcome.label
        if (request != null) headers[ClientHeaders.REQUEST] = request.value
        whole(error.status, headers, ByteBufUtil.writeUtf8(context.alloc(), json.toString()))
    }

    private fun setConnectionHeader(response: HttpResponse) {
        HttpUtil.setKeepAlive(response, keepAlive)
    }

    private fun finished(keepOpen: Boolean) {
        if (!keepOpen) context.writeAndFlush(context.alloc().buffer(0)).addListener(ChannelFutureListener.CLOSE)
        onFinished(keepOpen)
    }
}
