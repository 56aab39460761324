package org.cicadaarch.forwarding.client

import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpRequestDecoder

/**
 * Decodes requests and rejects those that state both a length and chunks, as proxies disagree on where they end.
 */
internal class StrictRequestDecoder(maximumHeaderBytes: Int) :
    HttpRequestDecoder(
        HttpDecoderConfig()
            .setMaxInitialLineLength(maximumHeaderBytes)
            .setMaxHeaderSize(maximumHeaderBytes),
    ) {
    override fun handleTransferEncodingChunkedWithContentLength(message: HttpMessage): Unit =
        throw IllegalArgumentException("both a length and chunks are stated")
}
