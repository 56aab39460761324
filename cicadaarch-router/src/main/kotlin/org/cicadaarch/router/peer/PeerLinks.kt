package org.cicadaarch.router.peer

import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.ServerSocket
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.ktor.utils.io.readFully
import io.ktor.utils.io.readInt
import io.ktor.utils.io.writeFully
import io.ktor.utils.io.writeInt
import java.util.concurrent.ConcurrentHashMap
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.launch
import org.cicadaarch.core.PeerMessage
import org.cicadaarch.logging.LogEvents
import org.cicadaarch.model.RouterAddress
import org.cicadaarch.model.RouterId
import org.cicadaarch.protocol.PeerCodec

/**
 * The connections to and from other routers: Ktor sockets that carry [PeerCodec] frames.
 *
 * Each router sends on the connections that it opened and receives on those that it accepted. A message that cannot be
 * delivered is dropped and counted; the roles allow for it.
 */
class PeerLinks(
    private val self: RouterId,
    private val listener: ServerSocket,
    private val addressOf: (RouterId) -> RouterAddress?,
    private val observer: PeerObserver,
    private val receive: (RouterId, PeerMessage) -> Unit,
    private val unreachable: (RouterId) -> Unit,
) : AutoCloseable {
    private val selector = SelectorManager(Dispatchers.IO)
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.IO)
    private val links = ConcurrentHashMap<RouterId, PeerLink>()

    /** Starts to accept connections. */
    fun start() {
        scope.launch {
            while (true) {
                val socket = listener.accept()
                scope.launch { serve(socket) }
            }
        }
    }

    /** Sends [message] to router [to], opening a connection if there is none. */
    fun send(to: RouterId, message: PeerMessage) {
        val address = addressOf(to)
        if (address == null) {
            observer.onDropped(message)
            return
        }
        links.computeIfAbsent(to) {
            PeerLink(self, address, selector, scope, observer) { failed -> closed(to, failed) }
        }
            .send(message)
    }

    override fun close() {
        scope.cancel()
        selector.close()
    }

    private fun closed(router: RouterId, failed: Boolean) {
        links.remove(router)
        if (failed) unreachable(router)
    }

    private suspend fun serve(socket: Socket) {
        try {
            socket.use { receiveFrames(it) }
        } catch (exception: CancellationException) {
            throw exception
        } catch (exception: Exception) {
            LogEvents.info("peer-connection-closed") { "cause" to exception.message }
        }
    }

    private suspend fun receiveFrames(socket: Socket) {
        val input = socket.openReadChannel()
        val output = socket.openWriteChannel(autoFlush = true)
        var sender: RouterId? = null
        while (true) {
            val length = input.readInt()
            check(length in 1..PeerCodec.MAXIMUM_MESSAGE_BYTES) { "a frame of $length bytes is not allowed" }
            val bytes = ByteArray(length).also { input.readFully(it) }
            val message = PeerCodec.decode(bytes).fold(
                ifLeft = { error("bytes that are no message: ${it.reason}") },
                ifRight = { it },
            )
            observer.onReceived(message, length + PeerCodec.LENGTH_BYTES)
            val known = sender
            when {
                message is PeerMessage.Hello -> sender = message.sender

                known == null -> error("the first message must be a hello")

                message is PeerMessage.Heartbeat -> {
                    output.writeInt(length)
                    output.writeFully(bytes)
                    observer.onSent(message, length + PeerCodec.LENGTH_BYTES)
                }

                else -> receive(known, message)
            }
        }
    }
}
