package org.cicadaarch.router

import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong
import kotlin.concurrent.thread

/**
 * Passes connections on to [targetPort] and counts the bytes that come back, holding next to none itself.
 */
class CountingRelay(private val targetPort: Int) : AutoCloseable {
    private val listener = ServerSocket(0, 64, InetAddress.getByName("127.0.0.1"))
    private val sockets = ConcurrentHashMap.newKeySet<Socket>()
    private val counted = AtomicLong()

    /** The port that the relay listens on. */
    val port: Int get() = listener.localPort

    /** The bytes that the other side has taken from the target. */
    val bytes: Long get() = counted.get()

    init {
        thread(isDaemon = true) { runCatching { while (true) accept(listener.accept()) } }
    }

    override fun close() {
        listener.close()
        sockets.forEach(Socket::close)
    }

    private fun accept(client: Socket) {
        val target = Socket("127.0.0.1", targetPort)
        sockets += listOf(client, target)
        copy(client, target) {}
        copy(target, client) { counted.addAndGet(it.toLong()) }
    }

    private fun copy(from: Socket, to: Socket, count: (Int) -> Unit) = thread(isDaemon = true) {
        runCatching {
            val buffer = ByteArray(BUFFER_BYTES)
            generateSequence { from.getInputStream().read(buffer).takeIf { it >= 0 } }.forEach { length ->
                to.getOutputStream().write(buffer, 0, length)
                count(length)
            }
        }
        listOf(from, to).forEach(Socket::close)
    }

    private companion object {
        const val BUFFER_BYTES = 8_192
    }
}
