package org.cicadaarch.forwarding.peer

import io.netty.channel.EventLoopGroup
import io.netty.handler.codec.http.HttpMethod
import java.net.InetSocketAddress
import kotlin.time.Duration
import org.cicadaarch.forwarding.http.EndpointRequest
import org.cicadaarch.forwarding.http.HttpEndpoint
import org.cicadaarch.forwarding.http.HttpReply
import org.cicadaarch.model.RouterAddress
import org.cicadaarch.store.HttpCall
import org.cicadaarch.store.HttpClient
import org.cicadaarch.store.HttpOutcome

/**
 * Sends polls as HTTP requests, and receives them at [listenAddress]. All functions but [bind] must be called on one
 * thread.
 */
internal class HttpPeerTransport(listenAddress: RouterAddress, private val eventLoops: EventLoopGroup) :
    PeerTransport {
    private val clients = HashMap<RouterAddress, HttpClient>()
    private lateinit var onRequest: (request: EndpointRequest, respond: (HttpReply) -> Unit) -> Unit
    private val endpoint = HttpEndpoint(listenAddress, eventLoops) { request, respond -> onRequest(request, respond) }

    /** Binds the address and returns it with the port in use. Throws an exception when it is in use. */
    fun bind(): RouterAddress = endpoint.bind()

    override fun listen(onRequest: (request: EndpointRequest, respond: (HttpReply) -> Unit) -> Unit) {
        this.onRequest = onRequest
        endpoint.accept()
    }

    override fun poll(
        peer: RouterAddress,
        request: EndpointRequest,
        timeout: Duration,
        onOutcome: (HttpOutcome) -> Unit,
    ) {
        val client = clients.getOrPut(peer) { HttpClient(eventLoops, InetSocketAddress(peer.host, peer.port)) }
        val method = if (request.body.isEmpty()) HttpMethod.GET else HttpMethod.POST
        client.exchange(HttpCall(method, request.uri, request.body, acceptsGzip = true), timeout, onOutcome)
    }

    override fun closeAllExcept(known: Set<RouterAddress>) {
        (clients.keys - known).forEach { clients.remove(it)?.close() }
    }
}
