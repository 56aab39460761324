package org.cicadaarch.router.target

import io.netty.bootstrap.Bootstrap
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpRequestEncoder
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.timeout.ReadTimeoutHandler
import io.netty.util.ReferenceCountUtil
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicBoolean
import org.cicadaarch.model.RouterAddress
import org.cicadaarch.store.framing.StrictResponseDecoder

/**
 * Learns on a new connection whether a target answers HTTP at all. Any status of a sound response counts as alive.
 */
class TargetProbe(private val eventLoops: EventLoopGroup) {
    /** Probes [address]; [onResult] is called once. */
    fun probe(address: RouterAddress, onResult: (Boolean) -> Unit) {
        val result = SingleResult(onResult)
        Bootstrap()
            .group(eventLoops)
            .channel(NioSocketChannel::class.java)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, PROBE_TIMEOUT_MILLISECONDS)
            .handler(
                object : ChannelInitializer<SocketChannel>() {
                    override fun initChannel(channel: SocketChannel) {
                        channel.pipeline()
                            .addLast(ReadTimeoutHandler(PROBE_TIMEOUT_MILLISECONDS.toLong(), TimeUnit.MILLISECONDS))
                            .addLast(StrictResponseDecoder())
                            .addLast(HttpRequestEncoder())
                            .addLast(ProbeHandler(address, result))
                    }
                },
            )
            .connect(address.host, address.port)
            .addListener { if (!it.isSuccess) result.give(false) }
    }

    private class SingleResult(private val onResult: (Boolean) -> Unit) {
        private val given = AtomicBoolean()

        fun give(alive: Boolean) {
            if (given.compareAndSet(false, true)) onResult(alive)
        }
    }

    private class ProbeHandler(private val address: RouterAddress, private val result: SingleResult) :
        ChannelInboundHandlerAdapter() {
        override fun channelActive(context: ChannelHandlerContext) {
            val request = DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, PROBE_PATH)
            request.headers()[HttpHeaderNames.HOST] = address.toString()
            request.headers()[HttpHeaderNames.CONNECTION] = HttpHeaderValues.CLOSE
            context.writeAndFlush(request)
        }

        override fun channelRead(context: ChannelHandlerContext, message: Any) {
            if (message is HttpResponse) {
                result.give(message.decoderResult().isSuccess)
                context.close()
            }
            ReferenceCountUtil.release(message)
        }

        override fun channelInactive(context: ChannelHandlerContext) {
            result.give(false)
        }

        @Deprecated("Netty's signature")
        override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
            result.give(false)
            context.close()
        }
    }

    private companion object {
        const val PROBE_TIMEOUT_MILLISECONDS = 1_000
        const val PROBE_PATH = "/health"
    }
}
