package org.cicadaarch.store

import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread

/** A server on loopback that calls [respond] after each request head, with the number of requests before it. */
internal class RawServer(private val respond: (Socket, Int) -> Unit) : AutoCloseable {
    private val server = ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"))
    private val connectionCount = AtomicInteger()
    private val requestCount = AtomicInteger()
    val port: Int = server.localPort

    /** The connections accepted so far. */
    val connections: Int get() = connectionCount.get()

    init {
        thread(isDaemon = true) {
            while (!server.isClosed) {
                val socket = runCatching { server.accept() }.getOrNull() ?: break
                connectionCount.incrementAndGet()
                thread(isDaemon = true) { runCatching { socket.use { serve(it) } } }
            }
        }
    }

    override fun close() = server.close()

    private fun serve(socket: Socket) {
        val reader = socket.getInputStream().bufferedReader(Charsets.ISO_8859_1)
        while (true) {
            if (generateSequence { reader.readLine() }.takeWhile { it.isNotEmpty() }.count() == 0) return
            respond(socket, requestCount.getAndIncrement())
        }
    }
}
