package org.cicadaarch.router.peer

import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.BoundDatagramSocket
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.ServerSocket
import io.ktor.network.sockets.aSocket
import java.net.BindException
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.runBlocking
import org.cicadaarch.model.RouterAddress

/**
 * The TCP and UDP sockets at which other routers reach this one, both at [address]. Connections and datagrams that
 * arrive before they are read wait in the kernel.
 */
class PeerSockets private constructor(
    private val selector: SelectorManager,
    internal val connections: ServerSocket,
    internal val datagrams: BoundDatagramSocket,
    val address: RouterAddress,
) : AutoCloseable {
    override fun close() {
        connections.close()
        datagrams.close()
        selector.close()
    }

    companion object {
        private const val MAX_TRIES = 32

        /**
         * Binds both sockets to [address]. For port 0, the system picks a port that is free for TCP, and another one as
         * long as it is taken for UDP. Throws an exception when the address is in use.
         */
        fun bind(address: RouterAddress): PeerSockets = runBlocking {
            val tries = if (address.port == 0) MAX_TRIES else 1
            val selector = SelectorManager(Dispatchers.IO)
            var failure: BindException? = null
            repeat(tries) {
                try {
                    return@runBlocking bindBoth(selector, address)
                } catch (exception: BindException) {
                    failure = exception
                }
            }
            selector.close()
            throw checkNotNull(failure)
        }

        private suspend fun bindBoth(selector: SelectorManager, address: RouterAddress): PeerSockets {
            val connections = aSocket(selector).tcp().bind(InetSocketAddress(address.host, address.port)) {
                reuseAddress = true
            }
            val bound = connections.localAddress as InetSocketAddress
            try {
                val datagrams = aSocket(selector).udp().bind(InetSocketAddress(address.host, bound.port))
                return PeerSockets(selector, connections, datagrams, RouterAddress(address.host, bound.port))
            } catch (exception: BindException) {
                connections.close()
                throw exception
            }
        }
    }
}
