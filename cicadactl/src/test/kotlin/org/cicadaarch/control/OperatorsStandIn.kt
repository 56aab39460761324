package org.cicadaarch.control

import com.sun.net.httpserver.HttpExchange
import com.sun.net.httpserver.HttpServer
import java.net.InetAddress
import java.net.InetSocketAddress
import java.util.concurrent.CopyOnWriteArrayList

/**
 * A stand-in of a router's operators' interface on loopback. Responds with [responses] by path and query, and records
 * the [requests].
 */
class OperatorsStandIn(private val responses: (String) -> String?) : AutoCloseable {
    private val server = HttpServer.create(InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0)
    val requests = CopyOnWriteArrayList<String>()
    val endpoint: String get() = "127.0.0.1:${server.address.port}"

    init {
        server.createContext("/") { exchange -> respond(exchange) }
        server.start()
    }

    override fun close() = server.stop(0)

    private fun respond(exchange: HttpExchange) {
        requests += "${exchange.requestMethod} ${exchange.requestURI}"
        val body = responses(exchange.requestURI.toString())
        val bytes = (body ?: "no such path").toByteArray()
        exchange.sendResponseHeaders(if (body == null) 404 else 200, bytes.size.toLong())
        exchange.responseBody.use { it.write(bytes) }
    }
}
