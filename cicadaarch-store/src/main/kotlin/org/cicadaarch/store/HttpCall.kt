package org.cicadaarch.store

import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpVersion
import java.net.InetSocketAddress

/**
 * An HTTP request with a JSON [body], empty if there is none. The response may be compressed if [acceptsGzip].
 */
data class HttpCall(
    val method: HttpMethod,
    val path: String,
    val body: String = "",
    val acceptsGzip: Boolean = false,
) {
    /** Netty's form of the request to [endpoint]. */
    fun toRequest(endpoint: InetSocketAddress): FullHttpRequest {
        val content = Unpooled.copiedBuffer(body, Charsets.UTF_8)
        val request = DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, path, content)
        request.headers()
            .set(HttpHeaderNames.HOST, "${endpoint.hostString}:${endpoint.port}")
            .set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON)
            .set(HttpHeaderNames.CONTENT_LENGTH, content.readableBytes())
        if (acceptsGzip) request.headers().set(HttpHeaderNames.ACCEPT_ENCODING, HttpHeaderValues.GZIP)
        return request
    }
}
