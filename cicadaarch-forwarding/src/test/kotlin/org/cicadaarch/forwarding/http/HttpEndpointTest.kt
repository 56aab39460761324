package org.cicadaarch.forwarding.http

import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.handler.codec.http.HttpResponseStatus
import java.net.Socket
import java.net.SocketException
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import org.cicadaarch.model.RouterAddress

class HttpEndpointTest {
    private val eventLoops = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())

    @AfterTest
    fun close() {
        eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync()
    }

    /** Guards against a reply that is taken for that of another request. */
    @Test
    fun `Given pipelined requests, when the reply to the first comes last, then the replies keep their order`() {
        val first = CompletableFuture<(HttpReply) -> Unit>()
        val address = start { request, respond ->
            if (request.uri == "/first") {
                first.complete(respond)
            } else {
                respond(HttpReply(HttpResponseStatus.OK, request.uri))
            }
        }
        Socket(address.host, address.port).use { client ->
            client.soTimeout = 10_000
            listOf("/first", "/second", "/third").forEach { client.send(it) }
            first.get(10, TimeUnit.SECONDS).let { respond ->
                eventLoops.submit { respond(HttpReply(HttpResponseStatus.OK, "/first")) }.sync()
            }
            val reader = client.getInputStream().bufferedReader()
            val bodies = List(3) { readBody(reader) }
            assertEquals(listOf("/first", "/second", "/third"), bodies)
        }
    }

    /** Guards against a peer that fills the memory with requests. */
    @Test
    fun `Given a request without a reply, when many more are pipelined, then the connection is closed`() {
        val address = start { _, _ -> }
        Socket(address.host, address.port).use { client ->
            client.soTimeout = 10_000
            val isClosed = try {
                repeat(100) { client.send("/$it") }
                client.getInputStream().read() == -1
            } catch (_: SocketException) {
                true
            }
            assertTrue(isClosed)
        }
    }

    /** Guards against a body that is taken for that of another request. */
    @Test
    fun `Given pipelined requests with bodies, when they are handled, then each has its own body`() {
        val address =
            start { request, respond -> respond(HttpReply(HttpResponseStatus.OK, request.uri + request.body)) }
        Socket(address.host, address.port).use { client ->
            client.soTimeout = 10_000
            client.send("/first", body = "one")
            client.send("/second")
            client.send("/third", body = "three")
            val reader = client.getInputStream().bufferedReader()
            assertEquals(listOf("/firstone", "/second", "/thirdthree"), List(3) { readBody(reader) })
        }
    }

    /** Guards against a peer that fills the memory with a body. */
    @Test
    fun `Given a body that is too long, when it is sent, then the connection is closed without a reply`() {
        val address = start { _, respond -> respond(HttpReply(HttpResponseStatus.OK, "handled")) }
        Socket(address.host, address.port).use { client ->
            client.soTimeout = 10_000
            val isClosed = try {
                client.send("/", body = "x".repeat(100_000))
                client.getInputStream().read() == -1
            } catch (_: SocketException) {
                true
            }
            assertTrue(isClosed)
        }
    }

    private fun start(onRequest: (EndpointRequest, (HttpReply) -> Unit) -> Unit): RouterAddress {
        val endpoint = HttpEndpoint(RouterAddress("127.0.0.1", 0), eventLoops, onRequest)
        return endpoint.bind().also { endpoint.accept() }
    }

    private fun Socket.send(uri: String, body: String = "") {
        val length = if (body.isEmpty()) "" else "Content-Length: ${body.length}\r\n"
        getOutputStream().write("POST $uri HTTP/1.1\r\nHost: a\r\n$length\r\n$body".toByteArray())
    }

    private fun readBody(reader: java.io.BufferedReader): String {
        val headers = generateSequence { reader.readLine().takeIf { it.isNotEmpty() } }.toList()
        val length = headers.first {
            it.startsWith("content-length", ignoreCase = true)
        }.substringAfter(':').trim().toInt()
        return String(CharArray(length).also { reader.read(it) })
    }
}
