package org.cicadaarch.forwarding.client

import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http.HttpResponseEncoder
import java.net.InetSocketAddress
import org.cicadaarch.dispatch.routing.ClientLimits
import org.cicadaarch.forwarding.exchange.ExchangeManager
import org.cicadaarch.model.RouterAddress

/**
 * Listens for callers. While it drains it closes each connection after the present request.
 */
internal class ClientListener(
    private val address: RouterAddress,
    private val eventLoops: EventLoopGroup,
    val exchanges: ExchangeManager,
) {
    private val handlers = LinkedHashSet<ClientConnectionHandler>()
    private var serverChannel: Channel? = null

    /** Whether answers end their connection. */
    var isDraining = false
        private set

    /** Whether requests that come are refused as not run. */
    var isStopped = false
        private set

    /** The limits in force. */
    val limits: ClientLimits get() = exchanges.limits

    /** Open connections. */
    val openConnections: Int get() = handlers.size

    /** Binds the address; throws when it is taken. */
    fun start() {
        serverChannel = ServerBootstrap()
            .group(eventLoops)
            .channel(NioServerSocketChannel::class.java)
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(ConnectionInitializer())
            .bind(InetSocketAddress(address.host, address.port))
            .sync()
            .channel()
    }

    /** Ends each connection with its next answer. */
    fun drain() {
        isDraining = true
    }

    /** Closes the connections that carry no request. */
    fun closeIdle() = handlers.toList().forEach { it.closeIfIdle() }

    /** Takes neither connections nor requests from now on: a stream could not end before this process does. */
    fun stop() {
        isStopped = true
        serverChannel?.close()
    }

    /** A connection was opened. */
    fun connectionOpened(handler: ClientConnectionHandler) {
        handlers += handler
    }

    /** A connection was closed. */
    fun connectionClosed(handler: ClientConnectionHandler) {
        handlers -= handler
    }

    private inner class ConnectionInitializer : ChannelInitializer<Channel>() {
        override fun initChannel(channel: Channel) {
            val handler = ClientConnectionHandler(this@ClientListener)
            channel.pipeline()
                .addLast(ClientTimeouts(this@ClientListener, handler))
                .addLast(StrictRequestDecoder(limits.headerBytes))
                .addLast(HttpResponseEncoder())
                .addLast(handler)
        }
    }

    private companion object {
        const val BACKLOG = 1024
    }
}
