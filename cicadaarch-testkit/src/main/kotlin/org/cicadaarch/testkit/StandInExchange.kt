package org.cicadaarch.testkit

import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelFutureListener
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.handler.codec.http.QueryStringDecoder
import io.netty.util.AttributeKey
import kotlinx.serialization.encodeToString

/**
 * One request to a stand-in and the means to answer it. [path] is without the [query].
 */
internal class StandInExchange private constructor(
    private val channel: Channel,
    val method: String,
    val path: String,
    private val query: Map<String, List<String>>,
    private val headers: Map<String, String>,
    val body: String,
) {
    /** The value of header [name] in lower case, or null. */
    fun header(name: String): String? = headers[name]

    /** The whole number in query parameter [name], zero when it is missing. */
    fun number(name: String): Long = query[name]?.firstOrNull()?.toLongOrNull() ?: 0

    /** Answers with [value] in JSON. */
    inline fun <reified T> answer(value: T, status: Int = OK) = answerText(testkitJson.encodeToString(value), status)

    /** Answers with the JSON [text]. */
    fun answerText(text: String, status: Int = OK) {
        val content = Unpooled.copiedBuffer(text, Charsets.UTF_8)
        val code = HttpResponseStatus.valueOf(status)
        val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, code, content)
        response.headers()
            .set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON)
            .set(HttpHeaderNames.CONTENT_LENGTH, content.readableBytes())
        write(response)
    }

    /** Begins a chunked answer of [contentType]. */
    fun beginStream(contentType: String) {
        val response = DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK)
        response.headers()
            .set(HttpHeaderNames.CONTENT_TYPE, contentType)
            .set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED)
        write(response)
    }

    /** Writes [text] as the next part of a chunked answer. */
    fun writeChunk(text: String) = write(DefaultHttpContent(Unpooled.copiedBuffer(text, Charsets.UTF_8)))

    /** Ends a chunked answer. */
    fun endStream() = write(LastHttpContent.EMPTY_LAST_CONTENT)

    /** Closes the connection without an answer. */
    fun drop() {
        channel.close()
    }

    /** Runs [action] when the connection is closed by either side before the next request comes over it. */
    fun onClosed(action: () -> Unit) = channel.attr(CLOSE_ACTION).set(action)

    /** Tells whether this exchange goes over [other]. */
    fun isOn(other: Channel): Boolean = channel === other

    private fun write(message: Any) {
        if (channel.attr(SILENT).get() != true) {
            channel.writeAndFlush(message).addListener(ChannelFutureListener.CLOSE_ON_FAILURE)
        }
    }

    companion object {
        /** Set on a connection that writes nothing more. */
        val SILENT: AttributeKey<Boolean> = AttributeKey.valueOf("org.cicadaarch.testkit.silent")

        /** What the present request of a connection wants done when it closes. */
        val CLOSE_ACTION: AttributeKey<() -> Unit> = AttributeKey.valueOf("org.cicadaarch.testkit.closeAction")

        private const val OK = 200

        /** Reads [request], which came over [channel]. */
        fun of(channel: Channel, request: FullHttpRequest): StandInExchange {
            channel.attr(CLOSE_ACTION).set(null)
            val uri = QueryStringDecoder(request.uri())
            return StandInExchange(
                channel = channel,
                method = request.method().name(),
                path = uri.path(),
                query = uri.parameters(),
                headers = request.headers().entries().associate { it.key.lowercase() to it.value },
                body = request.content().toString(Charsets.UTF_8),
            )
        }
    }
}
