package org.cicadaarch.router.peer

import io.ktor.network.sockets.BoundDatagramSocket
import io.ktor.network.sockets.Datagram
import io.ktor.network.sockets.InetSocketAddress
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.launch
import kotlinx.io.Buffer
import kotlinx.io.readByteArray
import org.cicadaarch.logging.LogEvents
import org.cicadaarch.membership.MembershipCodec
import org.cicadaarch.membership.MembershipMessage
import org.cicadaarch.model.RouterAddress

/**
 * The UDP socket for probes between routers. Datagrams may be lost; what is not a message is dropped.
 */
class PeerDatagrams(
    private val socket: BoundDatagramSocket,
    private val observe: (sent: Boolean, bytes: Int) -> Unit,
    private val receive: (RouterAddress, MembershipMessage) -> Unit,
) : AutoCloseable {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.IO)
    private val outgoing = Channel<Datagram>(QUEUE_CAPACITY)

    /** Starts to receive and send. */
    fun start() {
        scope.launch { receiveAll() }
        scope.launch { sendAll() }
    }

    /** Sends [message] to the router at [to], or drops it when the socket is busy. */
    fun send(to: RouterAddress, message: MembershipMessage) {
        val bytes = MembershipCodec.encode(message)
        observe(true, bytes.size)
        outgoing.trySend(Datagram(Buffer().apply { write(bytes) }, InetSocketAddress(to.host, to.port)))
    }

    override fun close() {
        scope.cancel()
    }

    private suspend fun sendAll() {
        for (datagram in outgoing) {
            runCatching { socket.send(datagram) }
                .onFailure { LogEvents.info("datagram-not-sent") { "cause" to it.message } }
        }
    }

    private suspend fun receiveAll() {
        for (datagram in socket.incoming) {
            val from = datagram.address as? InetSocketAddress ?: continue
            val bytes = datagram.packet.readByteArray()
            observe(false, bytes.size)
            val message = MembershipCodec.decode(bytes) ?: continue
            receive(RouterAddress(from.hostname, from.port), message)
        }
    }

    private companion object {
        const val QUEUE_CAPACITY = 1_024
    }
}
