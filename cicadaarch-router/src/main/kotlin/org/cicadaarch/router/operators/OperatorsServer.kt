package org.cicadaarch.router.operators

import io.netty.bootstrap.ServerBootstrap
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInitializer
import io.netty.channel.EventLoopGroup
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpObjectAggregator
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.QueryStringDecoder
import java.net.InetSocketAddress
import org.cicadaarch.model.RouterAddress
import org.cicadaarch.store.framing.StrictServerCodec

/**
 * The operators' HTTP endpoint, on an address of its own.
 */
class OperatorsServer(
    private val address: RouterAddress,
    private val eventLoops: EventLoopGroup,
    private val answer: (method: String, path: String, parameters: Map<String, String>) -> OperatorsAnswer,
) : AutoCloseable {
    private var listener: Channel? = null

    /** Starts to listen and returns the address in use; fails with an exception when the address is taken. */
    fun start(): RouterAddress {
        val channel = ServerBootstrap()
            .group(eventLoops)
            .channel(NioServerSocketChannel::class.java)
            .childHandler(
                object : ChannelInitializer<SocketChannel>() {
                    override fun initChannel(channel: SocketChannel) {
                        channel.pipeline()
                            .addLast(StrictServerCodec())
                            .addLast(HttpObjectAggregator(MAXIMUM_BODY_BYTES))
                            .addLast(Handler())
                    }
                },
            )
            .bind(address.host, address.port)
            .sync()
            .channel()
        listener = channel
        return RouterAddress(address.host, (channel.localAddress() as InetSocketAddress).port)
    }

    override fun close() {
        listener?.close()
    }

    private inner class Handler : SimpleChannelInboundHandler<FullHttpRequest>() {
        override fun channelRead0(context: ChannelHandlerContext, request: FullHttpRequest) {
            val query = QueryStringDecoder(request.uri())
            val parameters = query.parameters().mapValues { it.value.first() }
            val answer = answer(request.method().name(), query.path(), parameters)
            val response = DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                HttpResponseStatus.valueOf(answer.status),
                Unpooled.wrappedBuffer(answer.body),
            )
            response.headers()[HttpHeaderNames.CONTENT_TYPE] = answer.contentType
            response.headers()[HttpHeaderNames.CONTENT_LENGTH] = answer.body.size
            context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE)
        }

        @Deprecated("Netty's signature")
        override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
            context.close()
        }
    }

    private companion object {
        const val MAXIMUM_BODY_BYTES = 65_536
    }
}
