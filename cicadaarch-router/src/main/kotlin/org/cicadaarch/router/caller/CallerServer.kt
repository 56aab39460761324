package org.cicadaarch.router.caller

import io.netty.bootstrap.ServerBootstrap
import io.netty.buffer.CompositeByteBuf
import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.group.DefaultChannelGroup
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.timeout.IdleStateHandler
import io.netty.util.concurrent.GlobalEventExecutor
import java.net.InetSocketAddress
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import org.cicadaarch.model.RouterAddress
import org.cicadaarch.router.settings.RouterSettings
import org.cicadaarch.store.framing.StrictServerCodec

/**
 * Listens for callers. Connections above the maximum get an answer that says so and are closed.
 */
class CallerServer(
    private val settings: RouterSettings,
    private val eventLoops: EventLoopGroup,
    private val admit: (HttpRequest, CompositeByteBuf, CallerAnswer, (Exchange) -> Unit) -> Unit,
) : AutoCloseable {
    private val connections = AtomicInteger()
    private val channels = DefaultChannelGroup(GlobalEventExecutor.INSTANCE)
    private var listener: Channel? = null

    @Volatile
    private var draining = false

    /** The callers' open connections. */
    val openConnections: Int get() = connections.get()

    /** Starts to listen and returns the address in use; fails with an exception when the address is taken. */
    fun start(): RouterAddress {
        val channel = ServerBootstrap()
            .group(eventLoops)
            .channel(NioServerSocketChannel::class.java)
            .option(ChannelOption.SO_REUSEADDR, true)
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(
                object : ChannelInitializer<SocketChannel>() {
                    override fun initChannel(channel: SocketChannel) = initialize(channel)
                },
            )
            .bind(settings.callerAddress.host, settings.callerAddress.port)
            .sync()
            .channel()
        listener = channel
        return RouterAddress(settings.callerAddress.host, (channel.localAddress() as InetSocketAddress).port)
    }

    /** Answers from now on tell callers to close their connections. */
    fun announceDrain() {
        draining = true
    }

    /**
     * Stops accepting connections. Open ones end after the request that they carry, idle ones after a grace in which a
     * request that is already under way still gets its answer.
     */
    fun drain() {
        draining = true
        listener?.close()
        eventLoops.schedule({
            channels.forEach { it.pipeline().fireUserEventTriggered(DrainIdle) }
        }, IDLE_GRACE_SECONDS, TimeUnit.SECONDS)
    }

    override fun close() = drain()

    private fun initialize(channel: SocketChannel) {
        channel.pipeline()
            .addLast(IdleStateHandler(0, 0, IDLE_SECONDS))
            .addLast(StrictServerCodec(settings.maximumHeadBytes))
        if (connections.incrementAndGet() > settings.maximumConnections) {
            channel.pipeline().addLast(CallerConnection(settings.maximumBodyBytes, ::refuseConnection) { true })
        } else {
            channel.pipeline().addLast(CallerConnection(settings.maximumBodyBytes, admit) { draining })
        }
        channels.add(channel)
        channel.closeFuture().addListener { connections.decrementAndGet() }
    }

    @Suppress("UnusedParameter")
    private fun refuseConnection(
        request: HttpRequest,
        body: CompositeByteBuf,
        answer: CallerAnswer,
        opened: (Exchange) -> Unit,
    ) {
        body.release()
        answer.error(
            CallerError(
                status = HttpResponseStatus.SERVICE_UNAVAILABLE,
                code = "too-many-connections",
                message = "this router has ${settings.maximumConnections} connections, its maximum",
            ),
        )
    }

    private companion object {
        const val BACKLOG = 4_096
        const val IDLE_SECONDS = 60
        const val IDLE_GRACE_SECONDS = 1L
    }
}
