package org.cicadaarch.testkit

import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.group.DefaultChannelGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpObjectAggregator
import io.netty.handler.codec.http.HttpServerCodec
import java.net.InetSocketAddress
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * The HTTP server under every stand-in, on the loopback address.
 *
 * It serves [handler] on [port], where faults strike, and on [controlPort], which stays reachable. One thread runs all
 * handlers and timers, so a stand-in needs no locks.
 */
internal class StandInServer(port: Int, controlPort: Int, private val handler: (StandInExchange) -> Unit) :
    AutoCloseable {
    private val eventLoopGroup = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val eventLoop = eventLoopGroup.next()
    private val connections = DefaultChannelGroup(eventLoop)

    @Volatile
    private var listener: Channel = bind(port, connections)
    private val controlListener: Channel = bind(controlPort, DefaultChannelGroup(eventLoop))
    private var isListening = true

    /** The port of the stand-in's service. */
    val port: Int = portOf(listener)

    /** The port on which faults are set and logs are read while the service is down. */
    val controlPort: Int = portOf(controlListener)

    /** Runs [action] after [delay]. */
    fun schedule(delay: Duration, action: () -> Unit) {
        eventLoop.schedule(Runnable { action() }, delay.inWholeNanoseconds, TimeUnit.NANOSECONDS)
    }

    /** Drops all connections and refuses new ones. */
    fun stopListening() {
        isListening = false
        listener.close()
        connections.close()
    }

    /** Accepts connections again after [stopListening]. */
    fun startListening() {
        if (isListening) return
        isListening = true
        rebind()
    }

    /** Writes nothing more on the connections that are open now, save that of [exempt]; they stay open. */
    fun silenceConnections(exempt: StandInExchange) = connections
        .filterNot { exempt.isOn(it) }
        .forEach { it.attr(StandInExchange.SILENT).set(true) }

    // The event loops' own shutdown may leave a listener open in the kernel.
    override fun close() {
        if (eventLoopGroup.isShuttingDown) return
        listOf(listener, controlListener).forEach { it.close().syncUninterruptibly() }
        eventLoopGroup.shutdownGracefully(0, SHUTDOWN_TIMEOUT_MILLISECONDS, TimeUnit.MILLISECONDS).syncUninterruptibly()
    }

    // Another process may hold the port for a moment as that of an outgoing connection.
    private fun rebind() {
        bootstrap(connections).bind(InetSocketAddress(LOOPBACK, port)).addListener { future ->
            when {
                !future.isSuccess -> schedule(REBIND_INTERVAL) { if (isListening) rebind() }
                else -> listener = (future as ChannelFuture).channel()
            }
        }
    }

    private fun bind(port: Int, accepted: DefaultChannelGroup): Channel =
        bootstrap(accepted).bind(InetSocketAddress(LOOPBACK, port)).syncUninterruptibly().channel()

    private fun bootstrap(accepted: DefaultChannelGroup): ServerBootstrap = ServerBootstrap()
        .group(eventLoopGroup)
        .channel(NioServerSocketChannel::class.java)
        .option(ChannelOption.SO_REUSEADDR, true)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childHandler(PipelineInitializer(accepted))

    private fun portOf(channel: Channel): Int = (channel.localAddress() as InetSocketAddress).port

    private inner class PipelineInitializer(private val accepted: DefaultChannelGroup) :
        ChannelInitializer<Channel>() {
        override fun initChannel(channel: Channel) {
            accepted.add(channel)
            channel.pipeline().addLast(HttpServerCodec(), HttpObjectAggregator(MAXIMUM_BODY_BYTES), RequestHandler())
        }
    }

    private inner class RequestHandler : SimpleChannelInboundHandler<FullHttpRequest>() {
        override fun channelRead0(context: ChannelHandlerContext, request: FullHttpRequest) =
            handler(StandInExchange.of(context.channel(), request))

        override fun channelInactive(context: ChannelHandlerContext) {
            context.channel().attr(StandInExchange.CLOSE_ACTION).get()?.invoke()
        }

        @Deprecated("Deprecated in Netty's ChannelHandler, still called for inbound failures.")
        override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
            context.close()
        }
    }

    private companion object {
        const val LOOPBACK = "127.0.0.1"
        const val MAXIMUM_BODY_BYTES = 16 * 1024 * 1024
        const val SHUTDOWN_TIMEOUT_MILLISECONDS = 2_000L
        val REBIND_INTERVAL = 50.milliseconds
    }
}
