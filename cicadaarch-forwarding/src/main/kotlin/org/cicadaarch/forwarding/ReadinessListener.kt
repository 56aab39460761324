package org.cicadaarch.forwarding

import io.netty.bootstrap.ServerBootstrap
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInitializer
import io.netty.channel.EventLoopGroup
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpServerCodec
import io.netty.handler.codec.http.HttpVersion
import java.net.InetSocketAddress
import org.cicadaarch.model.RouterAddress

/**
 * Tells the balancer at [address] under [path] whether this router wants new connections.
 */
internal class ReadinessListener(
    private val address: RouterAddress,
    private val path: String,
    private val eventLoops: EventLoopGroup,
    private val isReady: () -> Boolean,
) {
    /** Binds the address; throws when it is taken. */
    fun start() {
        ServerBootstrap()
            .group(eventLoops)
            .channel(NioServerSocketChannel::class.java)
            .childHandler(ConnectionInitializer())
            .bind(InetSocketAddress(address.host, address.port))
            .sync()
    }

    private inner class ConnectionInitializer : ChannelInitializer<Channel>() {
        override fun initChannel(channel: Channel) {
            channel.pipeline().addLast(HttpServerCodec()).addLast(Answering())
        }
    }

    private inner class Answering : SimpleChannelInboundHandler<Any>() {
        override fun channelRead0(context: ChannelHandlerContext, message: Any) {
            if (message !is HttpRequest) return
            val status = when {
                message.uri() != path -> HttpResponseStatus.NOT_FOUND
                isReady() -> HttpResponseStatus.OK
                else -> HttpResponseStatus.SERVICE_UNAVAILABLE
            }
            val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.EMPTY_BUFFER)
            response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, 0)
            context.writeAndFlush(response)
        }

        @Deprecated("Deprecated in Netty's ChannelHandler, still called for inbound failures.")
        override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
            context.close()
        }
    }
}
