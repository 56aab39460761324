package org.cicadaarch.store

import io.netty.bootstrap.Bootstrap
import io.netty.channel.ChannelOption
import io.netty.channel.socket.nio.NioChannelOption
import jdk.net.ExtendedSocketOptions

/**
 * TCP keep-alive probes, by which the kernel detects within three seconds that the peer of an idle connection is gone.
 */
object KeepAliveProbes {
    private const val IDLE_SECONDS = 1
    private const val INTERVAL_SECONDS = 1
    private const val MAX_LOST_PROBES = 2

    /** Enables the probes for connections of [bootstrap]. */
    fun enable(bootstrap: Bootstrap) {
        bootstrap
            .option(ChannelOption.SO_KEEPALIVE, true)
            .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), IDLE_SECONDS)
            .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), INTERVAL_SECONDS)
            .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), MAX_LOST_PROBES)
    }
}
