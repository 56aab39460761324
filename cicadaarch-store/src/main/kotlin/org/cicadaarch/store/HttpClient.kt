package org.cicadaarch.store

import io.netty.bootstrap.Bootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelHandler
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.group.DefaultChannelGroup
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.http.HttpContentDecompressor
import io.netty.handler.codec.http.HttpRequestEncoder
import io.netty.util.concurrent.GlobalEventExecutor
import java.net.InetSocketAddress
import java.util.concurrent.ConcurrentLinkedDeque
import kotlin.time.Duration
import kotlin.time.TimeSource
import org.cicadaarch.store.framing.StrictResponseDecoder

/**
 * An HTTP client for one endpoint that reuses idle connections.
 *
 * Every exchange ends in exactly one [HttpOutcome], within its timeout. Closing the client does not shut down the event
 * loop group.
 */
class HttpClient(private val eventLoopGroup: EventLoopGroup, private val endpoint: InetSocketAddress) :
    AutoCloseable {
    private val idleConnections = ConcurrentLinkedDeque<Channel>()
    private val openConnections = DefaultChannelGroup(GlobalEventExecutor.INSTANCE, true)

    /** Sends [call] and passes its outcome to [onOutcome]. */
    fun exchange(call: HttpCall, timeout: Duration, onOutcome: (HttpOutcome) -> Unit) {
        val deadline = TimeSource.Monotonic.markNow() + timeout
        val channel = idleConnections.pollFirst()
        if (channel == null) {
            exchangeOnNewConnection(call, deadline, onOutcome)
        } else {
            channel.eventLoop().execute {
                when {
                    channel.pipeline().get(
                        HttpExchangeHandler::class.java,
                    )?.isAvailable == true -> send(channel, call, deadline, onOutcome)

                    else -> {
                        channel.close()
                        exchangeOnNewConnection(call, deadline, onOutcome)
                    }
                }
            }
        }
    }

    /**
     * Sends [call] on a new connection and passes the parts of the response to [handler]. If the connection cannot be
     * established within [timeout], passes the reason to [onNotSent].
     */
    fun stream(call: HttpCall, timeout: Duration, handler: ChannelHandler, onNotSent: (String) -> Unit) {
        connect(timeout, { listOf(it, handler) }) { future ->
            when {
                future.isSuccess -> future.channel().writeAndFlush(call.toRequest(endpoint))
                else -> onNotSent(future.cause().toString())
            }
        }
    }

    override fun close() {
        openConnections.close()
    }

    private fun exchangeOnNewConnection(
        call: HttpCall,
        deadline: TimeSource.Monotonic.ValueTimeMark,
        onOutcome: (HttpOutcome) -> Unit,
    ) {
        val handlers = { decoder: StrictResponseDecoder ->
            listOf(decoder, HttpContentDecompressor(MAX_INFLATED_BYTES), HttpExchangeHandler(decoder, RESPONSE_MEMORY))
        }
        connect(-deadline.elapsedNow(), handlers) { future ->
            when {
                future.isSuccess -> send(future.channel(), call, deadline, onOutcome)
                else -> onOutcome(HttpOutcome.NotSent(future.cause().toString()))
            }
        }
    }

    private fun send(
        channel: Channel,
        call: HttpCall,
        deadline: TimeSource.Monotonic.ValueTimeMark,
        onOutcome: (HttpOutcome) -> Unit,
    ) {
        channel.pipeline().get(HttpExchangeHandler::class.java).begin(-deadline.elapsedNow()) { outcome, reusable ->
            when {
                reusable -> idleConnections.offerFirst(channel)
                outcome is HttpOutcome.TimedOut -> closeIdleConnections()
            }
            onOutcome(outcome)
        }
        channel.writeAndFlush(call.toRequest(endpoint))
    }

    // A timeout on one connection suggests that the idle connections are dead, too.
    private fun closeIdleConnections() = generateSequence { idleConnections.pollFirst() }.forEach { it.close() }

    private fun connect(
        timeout: Duration,
        handlers: (StrictResponseDecoder) -> List<ChannelHandler>,
        onDone: (ChannelFuture) -> Unit,
    ) {
        Bootstrap()
            .group(eventLoopGroup)
            .channel(NioSocketChannel::class.java)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeoutMillis(timeout))
            .also { KeepAliveProbes.enable(it) }
            .handler(PipelineInitializer(handlers))
            .connect(endpoint)
            .addListener { future -> onDone(future as ChannelFuture) }
    }

    private fun connectTimeoutMillis(timeout: Duration): Int =
        timeout.inWholeMilliseconds.coerceIn(1, Int.MAX_VALUE.toLong()).toInt()

    private inner class PipelineInitializer(private val handlers: (StrictResponseDecoder) -> List<ChannelHandler>) :
        ChannelInitializer<Channel>() {
        override fun initChannel(channel: Channel) {
            openConnections.add(channel)
            channel.closeFuture().addListener { idleConnections.remove(channel) }
            channel.pipeline().addLast(HttpRequestEncoder())
            handlers(StrictResponseDecoder()).forEach { channel.pipeline().addLast(it) }
        }
    }

    private companion object {
        /** What one read of a compressed response may inflate to. */
        const val MAX_INFLATED_BYTES = 8 * 1024 * 1024

        /** For the responses to all clients of this process, which are few. */
        val RESPONSE_MEMORY = MemoryBudget.ofProcess(share = 0.125, maxShare = 0.5)
    }
}
