package org.cicadaarch.forwarding.client

import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.WriteBufferWaterMark
import io.netty.channel.socket.nio.NioServerSocketChannel
import java.net.InetSocketAddress
import org.cicadaarch.dispatch.routing.ClientLimits
import org.cicadaarch.forwarding.backlog.BacklogTracker
import org.cicadaarch.forwarding.exchange.ExchangeManager
import org.cicadaarch.forwarding.http.BoundAddress
import org.cicadaarch.model.RouterAddress
import org.cicadaarch.store.framing.StrictServerCodec

/**
 * Accepts client connections at [address]; with port 0 the system picks a free port. While it drains, it closes each
 * connection after its current request.
 */
internal class ClientListener(
    private val address: RouterAddress,
    private val eventLoops: EventLoopGroup,
    val exchanges: ExchangeManager,
    val backlogs: BacklogTracker,
) {
    private val handlers = LinkedHashSet<ClientConnectionHandler>()
    private var serverChannel: Channel? = null

    /** Whether each response closes its connection. */
    var isDraining = false
        private set

    /** Whether new requests are refused with status 503, since the router shuts down. */
    var isStopped = false
        private set

    /** The client limits in force. */
    val limits: ClientLimits get() = exchanges.limits

    /** Number of open client connections. */
    val openConnections: Int get() = handlers.size

    /** Binds the address and returns it with the port in use. Throws an exception when it is in use. */
    fun start(): RouterAddress {
        val channel = ServerBootstrap()
            .group(eventLoops)
            .channel(NioServerSocketChannel::class.java)
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, UNSENT_BOUNDS)
            .childHandler(ConnectionInitializer())
            .bind(InetSocketAddress(address.host, address.port))
            .sync()
            .channel()
        serverChannel = channel
        return BoundAddress.of(address, channel)
    }

    /** Closes each connection after its next response. */
    fun drain() {
        isDraining = true
    }

    /** Closes the connections without a request. */
    fun closeIdle() = handlers.toList().forEach { it.closeIfIdle() }

    /**
     * Accepts neither connections nor requests from now on: a stream that starts now could not end before the process
     * does.
     */
    fun stop() {
        isStopped = true
        serverChannel?.close()
    }

    /** Registers a connection that was opened. */
    fun connectionOpened(handler: ClientConnectionHandler) {
        handlers += handler
    }

    /** Removes a connection that was closed. */
    fun connectionClosed(handler: ClientConnectionHandler) {
        handlers -= handler
    }

    private inner class ConnectionInitializer : ChannelInitializer<Channel>() {
        override fun initChannel(channel: Channel) {
            val handler = ClientConnectionHandler(this@ClientListener)
            channel.pipeline()
                .addLast(ClientTimeouts(this@ClientListener, handler))
                .addLast(StrictServerCodec(limits.headerBytes))
                .addLast(handler)
        }
    }

    private companion object {
        const val BACKLOG = 1024

        /** Unsent bytes of a connection below which reading from its target goes on, and above which it pauses. */
        val UNSENT_BOUNDS = WriteBufferWaterMark(32 * 1024, 64 * 1024)
    }
}
