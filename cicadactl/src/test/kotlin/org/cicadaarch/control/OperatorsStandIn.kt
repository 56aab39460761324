package org.cicadaarch.control

import com.sun.net.httpserver.HttpExchange
import com.sun.net.httpserver.HttpServer
import java.net.InetAddress
import java.net.InetSocketAddress
import java.util.concurrent.CopyOnWriteArrayList

/**
 * Answers a router's operators' endpoint on loopback with [answers] by path and query; keeps the [requests].
 */
class OperatorsStandIn(private val answers: (String) -> String?) : AutoCloseable {
    private val server = HttpServer.create(InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0)
    val requests = CopyOnWriteArrayList<String>()
    val endpoint: String get() = "127.0.0.1:${server.address.port}"

    init {
        server.createContext("/") { exchange -> answer(exchange) }
        server.start()
    }

    override fun close() = server.stop(0)

    private fun answer(exchange: HttpExchange) {
        requests += "${exchange.requestMethod} ${exchange.requestURI}"
        val body = answers(exchange.requestURI.toString())
        val bytes = (body ?: "no such path").toByteArray()
        exchange.sendResponseHeaders(if (body == null) 404 else 200, bytes.size.toLong())
        exchange.responseBody.use { it.write(bytes) }
    }
}
