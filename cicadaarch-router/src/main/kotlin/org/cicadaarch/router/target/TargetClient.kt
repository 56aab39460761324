package org.cicadaarch.router.target

import io.netty.bootstrap.Bootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoop
import io.netty.channel.socket.nio.NioChannelOption
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.EmptyHttpHeaders
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpRequestEncoder
import io.netty.handler.codec.http.HttpVersion
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedDeque
import jdk.net.ExtendedSocketOptions
import org.cicadaarch.model.RouterAddress
import org.cicadaarch.request.AttemptFailure
import org.cicadaarch.store.framing.StrictResponseDecoder

/**
 * Sends requests to targets over HTTP/1.1 and keeps idle connections for repeatable requests.
 *
 * TCP keep-alive finds connections whose other end is unreachable within [KEEP_ALIVE_IDLE_SECONDS] and
 * [KEEP_ALIVE_PROBES] probes of [KEEP_ALIVE_INTERVAL_SECONDS].
 */
class TargetClient {
    private val idleConnections = ConcurrentHashMap<ConnectionKey, ConcurrentLinkedDeque<IdleConnection>>()

    /** Sends [request] on [eventLoop] and reports the answer to [listener] there. */
    fun send(eventLoop: EventLoop, request: TargetRequest, listener: TargetAnswerListener): TargetCall {
        val call = TargetCall()
        val key = ConnectionKey(eventLoop, request.address)
        val kept = if (request.repeatable) takeIdle(key) else null
        if (kept == null) {
            connect(key, request, call, listener)
        } else {
            exchange(kept, key, request, call, listener)
        }
        return call
    }

    private fun takeIdle(key: ConnectionKey): Channel? {
        val idle = idleConnections[key] ?: return null
        while (true) {
            val connection = idle.pollLast() ?: return null
            val channel = connection.channel
            if (channel.isActive && connection.isFresh() && !hasUnreadBytes(channel)) return channel
            connection.channel.close()
        }
    }

    private fun connect(key: ConnectionKey, request: TargetRequest, call: TargetCall, listener: TargetAnswerListener) {
        bootstrap(key.eventLoop).connect(request.address.host, request.address.port).addListener { future ->
            val channel = (future as ChannelFuture).channel()
            when {
                call.cancelled -> channel.close()
                !future.isSuccess -> listener.onFailed(AttemptFailure.NotConnected)
                else -> exchange(channel, key, request, call, listener)
            }
        }
    }

    private fun bootstrap(eventLoop: EventLoop): Bootstrap = Bootstrap()
        .group(eventLoop)
        .channel(NioSocketChannel::class.java)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLISECONDS)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
        .option(ChannelOption.SO_KEEPALIVE, true)
        .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), KEEP_ALIVE_IDLE_SECONDS)
        .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), KEEP_ALIVE_INTERVAL_SECONDS)
        .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), KEEP_ALIVE_PROBES)
        .handler(
            object : ChannelInitializer<Channel>() {
                override fun initChannel(channel: Channel) {
                    channel.pipeline().addLast(StrictResponseDecoder()).addLast(HttpRequestEncoder())
                }
            },
        )

    private fun exchange(
        channel: Channel,
        key: ConnectionKey,
        request: TargetRequest,
        call: TargetCall,
        listener: TargetAnswerListener,
    ) {
        val handler = TargetAnswerHandler(call, listener) { finished -> keep(key, finished) }
        channel.pipeline().addLast(handler)
        channel.pipeline().get(StrictResponseDecoder::class.java).awaitsResponseToHead =
            request.method == HttpMethod.HEAD
        call.attach(channel)
        val message = DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            request.method,
            request.path,
            request.body.retainedDuplicate(),
            request.headers.copy(),
            EmptyHttpHeaders.INSTANCE,
        )
        message.headers()[HttpHeaderNames.HOST] = request.address.toString()
        message.headers()[HttpHeaderNames.CONTENT_LENGTH] = request.body.readableBytes()
        channel.writeAndFlush(message)
    }

    private fun keep(key: ConnectionKey, channel: Channel) {
        val idle = idleConnections.computeIfAbsent(key) { ConcurrentLinkedDeque() }
        if (idle.size >= MAXIMUM_IDLE_CONNECTIONS || hasUnreadBytes(channel)) {
            channel.close()
            return
        }
        val connection = IdleConnection(channel, System.nanoTime())
        idle.addLast(connection)
        channel.closeFuture().addListener { idle.remove(connection) }
    }

    /** Such bytes are the start of a response to no request. */
    private fun hasUnreadBytes(channel: Channel): Boolean =
        channel.pipeline().get(StrictResponseDecoder::class.java)?.hasUnreadBytes ?: true

    private data class ConnectionKey(val eventLoop: EventLoop, val address: RouterAddress)

    /** A connection that has been idle since [since], in nanoseconds of the monotonic clock. */
    private class IdleConnection(val channel: Channel, private val since: Long) {
        fun isFresh(): Boolean = System.nanoTime() - since < MAXIMUM_IDLE_NANOSECONDS
    }

    private companion object {
        const val CONNECT_TIMEOUT_MILLISECONDS = 1_000
        const val KEEP_ALIVE_IDLE_SECONDS = 2
        const val KEEP_ALIVE_INTERVAL_SECONDS = 1
        const val KEEP_ALIVE_PROBES = 3
        const val MAXIMUM_IDLE_CONNECTIONS = 64

        /** Less than servers usually keep idle connections, so that few requests meet one that is being closed. */
        const val MAXIMUM_IDLE_NANOSECONDS = 4_000_000_000L
    }
}
