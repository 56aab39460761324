package org.cicadaarch.forwarding.client

import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpRequestDecoder

/**
 * Decodes requests and rejects those with both a Content-Length and a chunked Transfer-Encoding: proxies disagree on
 * where such a request ends, which permits request smuggling.
 */
internal class StrictRequestDecoder(maximumHeaderBytes: Int) :
    HttpRequestDecoder(
        HttpDecoderConfig()
            .setMaxInitialLineLength(maximumHeaderBytes)
            .setMaxHeaderSize(maximumHeaderBytes),
    ) {
    override fun handleTransferEncodingChunkedWithContentLength(message: HttpMessage): Unit =
        throw IllegalArgumentException("The request has both a Content-Length and a chunked Transfer-Encoding.")
}
