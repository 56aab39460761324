package org.cicadaarch.store.framing

import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.DefaultHttpRequest
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpVersion

/**
 * Decodes requests whose end and target are beyond doubt; the decoder result of any other one is a failure, and nothing
 * after it is decoded. Recipients disagree on where such a request ends, so that the rest of it could run as a request
 * of its own (request smuggling). [onHead] is called with each sound head.
 */
internal class StrictRequestDecoder(maxHeadBytes: Int, private val onHead: (HttpRequest) -> Unit) :
    StrictMessageDecoder(maxStartLineBytes = maxHeadBytes, maxFieldBytes = maxHeadBytes) {
    /** RFC 9112, section 2.2. */
    override val skipsEmptyLines = true

    override fun message(startLine: String, fields: HttpHeaders): HttpMessage {
        val line = HeadGrammar.requestLine(startLine)
        return DefaultHttpRequest(line.version, line.method, line.target, fields)
    }

    override fun framing(message: HttpMessage): BodyFraming {
        val request = message as HttpRequest
        return BodyFraming.ofRequest(request).also { onHead(request) }
    }

    override fun placeholder(): HttpMessage =
        DefaultFullHttpRequest(HttpVersion.HTTP_1_0, HttpMethod.GET, "/malformed-request")
}
