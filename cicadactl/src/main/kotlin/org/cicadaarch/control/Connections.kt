package org.cicadaarch.control

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import java.net.InetSocketAddress
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.seconds
import org.cicadaarch.store.EtcdStore

/**
 * The network connections of one command.
 */
internal class Connections : AutoCloseable {
    private val eventLoopGroup = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())

    /** Returns the store of the fleet document at [address], as host:port, or an error if [address] is not valid. */
    fun store(address: String?): Either<ControlError, FleetStore> {
        val endpoint = address?.let(::endpointOf)
            ?: return ControlError.Usage("no store is named: give --store host:port or CICADAARCH_STORE").left()
        return FleetStore(EtcdStore(eventLoopGroup, endpoint, STORE_TIMEOUT)).right()
    }

    override fun close() {
        eventLoopGroup.shutdownGracefully(0, SHUTDOWN_SECONDS, TimeUnit.SECONDS).syncUninterruptibly()
    }

    private fun endpointOf(address: String): InetSocketAddress? {
        val port = address.substringAfterLast(':', "").toIntOrNull() ?: return null
        return InetSocketAddress(address.substringBeforeLast(':'), port)
    }

    private companion object {
        val STORE_TIMEOUT = 3.seconds
        const val SHUTDOWN_SECONDS = 2L
    }
}
