package org.cicadaarch.forwarding.peer

import io.netty.channel.EventLoopGroup
import io.netty.handler.codec.http.HttpMethod
import java.net.InetSocketAddress
import kotlin.time.Duration
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
    private lateinit var onRequest: (uri: String, respond: (HttpReply) -> Unit) -> Unit
    private val endpoint = HttpEndpoint(listenAddress, eventLoops) { uri, respond -> onRequest(uri, respond) }

    /** Binds the address and returns it with the port in use. Throws an exception when it is in use. */
    fun bind(): RouterAddress = endpoint.bind()

    override fun listen(onRequest: (uri: String, respond: (HttpReply) -> Unit) -> Unit) {
        this.onRequest = onRequest
        endpoint.accept()
    }

    override fun poll(peer: RouterAddress, uri: String, timeout: Duration, onOutcome: (HttpOutcome) -> Unit) {
        val client = clients.getOrPut(peer) { HttpClient(eventLoops, InetSocketAddress(peer.host, peer.port)) }
        client.exchange(HttpCall(HttpMethod.GET, uri, acceptsGzip = true), timeout, onOutcome)
    }

    override fun closeAllExcept(known: Set<RouterAddress>) {
        (clients.keys - known).forEach { clients.remove(it)?.close() }
    }
}
