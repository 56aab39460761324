package org.cicadaarch.store.framing

import io.netty.channel.CombinedChannelDuplexHandler
import io.netty.handler.codec.ByteToMessageDecoder
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseEncoder
import io.netty.handler.codec.http.HttpStatusClass

/**
 * The server side of HTTP/1.1: a [StrictRequestDecoder] for heads of up to [maximumHeaderBytes], and an encoder that
 * sends no body in response to a HEAD request.
 */
class StrictServerCodec(maximumHeaderBytes: Int = HttpDecoderConfig().maxHeaderSize) :
    CombinedChannelDuplexHandler<ByteToMessageDecoder, HttpResponseEncoder>() {
    private val methods = ArrayDeque<HttpMethod>()

    init {
        init(StrictRequestDecoder(maximumHeaderBytes, ::requestRead), ResponseEncoder())
    }

    private fun requestRead(request: HttpRequest) {
        methods.addLast(request.method())
    }

    private inner class ResponseEncoder : HttpResponseEncoder() {
        override fun isContentAlwaysEmpty(response: HttpResponse): Boolean {
            val isInterim = response.status().codeClass() == HttpStatusClass.INFORMATIONAL
            val method = if (isInterim) null else methods.removeFirstOrNull()
            return method == HttpMethod.HEAD || super.isContentAlwaysEmpty(response)
        }
    }
}
