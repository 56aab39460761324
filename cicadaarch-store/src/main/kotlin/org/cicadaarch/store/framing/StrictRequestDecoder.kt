package org.cicadaarch.store.framing

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpRequestDecoder

/**
 * Decodes requests whose end and target are beyond doubt; the decoder result of any other one is a failure, and nothing
 * after it is decoded. Recipients disagree on where such a request ends, so that the rest of it could run as a request
 * of its own (request smuggling). [onHead] is called with each sound head.
 */
internal class StrictRequestDecoder(maximumHeaderBytes: Int, private val onHead: (HttpRequest) -> Unit = {}) :
    HttpRequestDecoder(
        HttpDecoderConfig()
            .setMaxInitialLineLength(maximumHeaderBytes)
            .setMaxHeaderSize(maximumHeaderBytes)
            .setHeadersFactory(HeadFields.Factory),
    ) {
    private val body = BodyDecoder()

    override fun decode(context: ChannelHandlerContext, buffer: ByteBuf, out: MutableList<Any>) {
        if (body.isActive) return body.decode(buffer, out)
        super.decode(context, buffer, out)
        body.beginBody(buffer, out)
    }

    /** Called by the library once it has decoded a head; what it returns keeps the library from decoding a body. */
    override fun isContentAlwaysEmpty(message: HttpMessage): Boolean {
        val request = message as HttpRequest
        if (request.protocolVersion().majorVersion() != SUPPORTED_MAJOR_VERSION) {
            throw FramingException("not HTTP/$SUPPORTED_MAJOR_VERSION")
        }
        if (request.uri().any { it !in PRINTABLE_ASCII }) throw FramingException("request target is not ASCII")
        body.announce(BodyFraming.ofRequest(request))
        onHead(request)
        return true
    }

    private companion object {
        const val SUPPORTED_MAJOR_VERSION = 1
        val PRINTABLE_ASCII = '!'..'~'
    }
}
