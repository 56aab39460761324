package org.cicadaarch.forwarding.http

import io.netty.bootstrap.ServerBootstrap
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.compression.StandardCompressionOptions
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpContentCompressor
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import java.io.ByteArrayOutputStream
import java.net.InetSocketAddress
import org.cicadaarch.logging.LogEvents
import org.cicadaarch.model.RouterAddress
import org.cicadaarch.store.framing.StrictServerCodec

/**
 * An HTTP server at [address]; with port 0 the system picks a free port.
 *
 * [onRequest] is called with each request and a function that sends the reply, which it may call at once or later. A
 * connection with a body of more than [MAX_BODY_BYTES] is closed. Large replies are compressed for clients that
 * accept it. A pipelined request waits until the reply to the one before it has been sent, so that a client which reads
 * nothing gets no more; a connection with more than [MAX_PIPELINED_REQUESTS] is closed.
 */
internal class HttpEndpoint(
    private val address: RouterAddress,
    private val eventLoops: EventLoopGroup,
    private val onRequest: (request: EndpointRequest, respond: (HttpReply) -> Unit) -> Unit,
) {
    private lateinit var serverChannel: Channel

    /**
     * Binds the address and returns it with the port in use. Throws an exception when it is in use. Connections wait
     * until [accept] is called.
     */
    fun bind(): RouterAddress {
        serverChannel = ServerBootstrap()
            .group(eventLoops)
            .channel(NioServerSocketChannel::class.java)
            .option(ChannelOption.SO_REUSEADDR, true)
            .option(ChannelOption.AUTO_READ, false)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(ConnectionInitializer())
            .bind(InetSocketAddress(address.host, address.port))
            .sync()
            .channel()
        return BoundAddress.of(address, serverChannel)
    }

    /** Accepts connections from now on. */
    fun accept() {
        serverChannel.config().isAutoRead = true
    }

    private inner class ConnectionInitializer : ChannelInitializer<Channel>() {
        override fun initChannel(channel: Channel) {
            channel.pipeline().addLast(StrictServerCodec()).addLast(compressor()).addLast(RequestHandler())
        }
    }

    private fun compressor() = HttpContentCompressor(MIN_COMPRESSED_BYTES, StandardCompressionOptions.gzip())

    private inner class RequestHandler : SimpleChannelInboundHandler<HttpObject>(HttpObject::class.java) {
        private val waiting = ArrayDeque<EndpointRequest>()
        private var uri = ""
        private val body = ByteArrayOutputStream()
        private var isBusy = false

        override fun channelRead0(context: ChannelHandlerContext, message: HttpObject) {
            if (message.decoderResult().isFailure) {
                context.close()
                return
            }
            if (message is HttpRequest) beginRequest(message)
            if (message is HttpContent) addContent(context, message)
        }

        private fun beginRequest(request: HttpRequest) {
            uri = request.uri()
            body.reset()
        }

        private fun addContent(context: ChannelHandlerContext, content: HttpContent) {
            val part = content.content()
            if (body.size() + part.readableBytes() > MAX_BODY_BYTES) {
                context.close()
                return
            }
            part.readBytes(body, part.readableBytes())
            if (content is LastHttpContent) endRequest(context)
        }

        private fun endRequest(context: ChannelHandlerContext) {
            waiting.addLast(EndpointRequest(uri, body.toString(Charsets.UTF_8)))
            if (waiting.size > MAX_PIPELINED_REQUESTS) context.close() else handleNext(context)
        }

        private fun handleNext(context: ChannelHandlerContext) {
            while (!isBusy) {
                val request = waiting.removeFirstOrNull() ?: return
                isBusy = true
                onRequest(request) { reply -> finish(context, reply) }
            }
        }

        private fun finish(context: ChannelHandlerContext, reply: HttpReply) {
            write(context, reply).addListener {
                isBusy = false
                handleNext(context)
            }
        }

        @Deprecated("Deprecated in Netty's ChannelHandler, still called for inbound failures.")
        override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
            LogEvents.debug("endpoint-connection-failed") { "reason" to cause }
            context.close()
        }

        private fun write(context: ChannelHandlerContext, reply: HttpReply): ChannelFuture {
            val content = Unpooled.copiedBuffer(reply.body, Charsets.UTF_8)
            val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, reply.status, content)
            response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, content.readableBytes())
            if (reply.body.isNotEmpty()) response.headers().set(HttpHeaderNames.CONTENT_TYPE, reply.contentType)
            return context.writeAndFlush(response)
        }
    }

    private companion object {
        const val MIN_COMPRESSED_BYTES = 4_096
        const val MAX_PIPELINED_REQUESTS = 16
        const val MAX_BODY_BYTES = 65_536
    }
}
