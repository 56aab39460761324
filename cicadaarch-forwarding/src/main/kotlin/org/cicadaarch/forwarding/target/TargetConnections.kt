package org.cicadaarch.forwarding.target

import io.netty.bootstrap.Bootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoop
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.http.HttpClientCodec
import java.net.InetSocketAddress
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.milliseconds
import org.cicadaarch.forwarding.EventLoopClock
import org.cicadaarch.forwarding.format.HeaderFormat
import org.cicadaarch.store.KeepAliveProbes

/**
 * The connections to targets. All functions run on [eventLoop].
 */
internal class TargetConnections(private val eventLoop: EventLoop, private val format: HeaderFormat) {
    private val idle = HashMap<TargetKey, ArrayDeque<TargetConnection>>()

    /** Starts to close connections that are idle for long. */
    fun start() {
        eventLoop.scheduleWithFixedDelay(::closeIdle, SWEEP_MILLISECONDS, SWEEP_MILLISECONDS, TimeUnit.MILLISECONDS)
    }

    /**
     * Gives a connection to [key] to [onOpen], or the reason why there is none to [onFailure]. With [mustBeSure] only a
     * connection is taken that the target certainly still keeps.
     */
    fun acquire(key: TargetKey, mustBeSure: Boolean, onOpen: (TargetConnection) -> Unit, onFailure: (String) -> Unit) {
        val kept = kept(key, if (mustBeSure) SURE_PART else LIKELY_PART)
        if (kept != null) onOpen(kept) else connect(key, onOpen, onFailure)
    }

    /** Closes the idle connections of targets that are not in [present]. */
    fun retain(present: Set<TargetKey>) {
        (idle.keys - present).forEach { key -> idle.remove(key)?.toList()?.forEach { it.close() } }
    }

    private fun kept(key: TargetKey, part: Double): TargetConnection? {
        val connections = idle[key] ?: return null
        val now = EventLoopClock.now()
        while (true) {
            val connection = connections.removeLastOrNull() ?: return null
            if (connection.isOpen && now - connection.idleSince < connection.idleTime * part) return connection
            connection.close()
        }
    }

    private fun connect(key: TargetKey, onOpen: (TargetConnection) -> Unit, onFailure: (String) -> Unit) {
        val connection = TargetConnection(key, format, onIdle = ::keep, onClosed = ::forget)
        Bootstrap()
            .group(eventLoop)
            .channel(NioSocketChannel::class.java)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT.inWholeMilliseconds.toInt())
            .also { KeepAliveProbes.enable(it) }
            .handler(ConnectionInitializer(connection))
            .connect(InetSocketAddress(key.host, key.port))
            .addListener { future ->
                when {
                    future.isSuccess -> onOpen(connection)
                    else -> onFailure("connect: ${(future as ChannelFuture).cause().message}")
                }
            }
    }

    private fun keep(connection: TargetConnection) {
        idle.getOrPut(connection.key) { ArrayDeque() }.addLast(connection)
    }

    private fun forget(connection: TargetConnection) {
        idle[connection.key]?.remove(connection)
    }

    private fun closeIdle() {
        val now = EventLoopClock.now()
        idle.values.flatten().filter { now - it.idleSince > it.idleTime * LIKELY_PART }.forEach { it.close() }
        idle.values.removeIf { it.isEmpty() }
    }

    private class ConnectionInitializer(private val connection: TargetConnection) : ChannelInitializer<Channel>() {
        override fun initChannel(channel: Channel) {
            channel.pipeline().addLast(HttpClientCodec()).addLast(connection)
        }
    }

    private companion object {
        val CONNECT_TIMEOUT = 300.milliseconds
        const val SWEEP_MILLISECONDS = 1_000L

        /** Parts of a target's idle timeout after which a kept connection is not used any more. */
        const val LIKELY_PART = 0.8
        const val SURE_PART = 0.4
    }
}
