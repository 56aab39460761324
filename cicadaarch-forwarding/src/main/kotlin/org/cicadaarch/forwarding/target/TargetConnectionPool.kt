package org.cicadaarch.forwarding.target

import io.netty.bootstrap.Bootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoop
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.http.HttpRequestEncoder
import java.net.InetSocketAddress
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import org.cicadaarch.forwarding.NanoTimeClock
import org.cicadaarch.forwarding.format.HeaderFormat
import org.cicadaarch.store.KeepAliveProbes
import org.cicadaarch.store.framing.StrictResponseDecoder

/**
 * Pool of persistent connections to targets. All functions must be called on [eventLoop].
 */
internal class TargetConnectionPool(private val eventLoop: EventLoop, private val format: HeaderFormat) {
    private val idle = HashMap<TargetKey, ArrayDeque<TargetConnection>>()

    /** Starts to close connections that have been idle for too long. */
    fun start() {
        eventLoop.scheduleWithFixedDelay(
            ::closeExpired,
            SWEEP_INTERVAL_MILLIS,
            SWEEP_INTERVAL_MILLIS,
            TimeUnit.MILLISECONDS,
        )
    }

    /**
     * Passes a pooled or new connection to [onConnection], or the reason why there is none to [onFailure]. A new one
     * must be established within [connectTimeout]. With [requireFresh], reuses only a connection that the target has
     * certainly not closed.
     */
    fun acquire(
        key: TargetKey,
        requireFresh: Boolean,
        connectTimeout: Duration,
        onConnection: (TargetConnection) -> Unit,
        onFailure: (String) -> Unit,
    ) {
        val pooled = takePooled(key, if (requireFresh) FRESH_IDLE_FRACTION else USABLE_IDLE_FRACTION)
        if (pooled != null) onConnection(pooled) else connect(key, connectTimeout, onConnection, onFailure)
    }

    /** Opens a connection to find out whether the target accepts any within [timeout], and pools it if so. */
    fun check(key: TargetKey, timeout: Duration, onResult: (Boolean) -> Unit) = connect(
        key = key,
        timeout = timeout,
        onConnection = {
            release(it)
            onResult(true)
        },
        onFailure = { onResult(false) },
    )

    /** Takes back [connection], which carries no attempt, unless it was closed meanwhile. */
    fun release(connection: TargetConnection) {
        if (connection.isAvailable) idle.getOrPut(connection.key) { ArrayDeque() }.addLast(connection)
    }

    /** Closes the idle connections to targets that are not in [present]. */
    fun closeAllExcept(present: Set<TargetKey>) {
        (idle.keys - present).forEach { key -> idle.remove(key)?.toList()?.forEach { it.close() } }
    }

    private fun takePooled(key: TargetKey, maxIdleFraction: Double): TargetConnection? {
        val connections = idle[key] ?: return null
        val now = NanoTimeClock.now()
        while (true) {
            val connection = connections.removeLastOrNull() ?: return null
            val maxIdleTime = connection.idleTimeout * maxIdleFraction
            if (connection.isAvailable && now - connection.idleSince < maxIdleTime) return connection
            connection.close()
        }
    }

    private fun connect(
        key: TargetKey,
        timeout: Duration,
        onConnection: (TargetConnection) -> Unit,
        onFailure: (String) -> Unit,
    ) {
        val decoder = StrictResponseDecoder()
        val connection = TargetConnection(key, format, decoder, onIdle = ::release, onClosed = ::remove)
        Bootstrap()
            .group(eventLoop)
            .channel(NioSocketChannel::class.java)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, timeout.inWholeMilliseconds.toInt())
            .also { KeepAliveProbes.enable(it) }
            .handler(ConnectionInitializer(decoder, connection))
            .connect(InetSocketAddress(key.host, key.port))
            .addListener { future ->
                when {
                    future.isSuccess -> onConnection(connection)
                    else -> onFailure("connect: ${(future as ChannelFuture).cause().message}")
                }
            }
    }

    private fun remove(connection: TargetConnection) {
        idle[connection.key]?.remove(connection)
    }

    private fun closeExpired() {
        val now = NanoTimeClock.now()
        idle.values.flatten()
            .filter { now - it.idleSince > it.idleTimeout * USABLE_IDLE_FRACTION }
            .forEach { it.close() }
        idle.values.removeIf { it.isEmpty() }
    }

    private class ConnectionInitializer(
        private val decoder: StrictResponseDecoder,
        private val connection: TargetConnection,
    ) : ChannelInitializer<Channel>() {
        override fun initChannel(channel: Channel) {
            channel.pipeline()
                .addLast(ResponseByteCounter(connection))
                .addLast(decoder)
                .addLast(HttpRequestEncoder())
                .addLast(connection)
        }
    }

    private companion object {
        const val SWEEP_INTERVAL_MILLIS = 1_000L

        /**
         * Fractions of a target's idle timeout after which a pooled connection is no longer reused: usually, and when a
         * fresh one is required.
         */
        const val USABLE_IDLE_FRACTION = 0.8
        const val FRESH_IDLE_FRACTION = 0.4
    }
}
