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
 * Sends polls as HTTP requests, and receives them at [self]. All functions must be called on one thread.
 */
internal class HttpPeerTransport(private val self: RouterAddress, private val eventLoops: EventLoopGroup) :
    PeerTransport {
    private val clients = HashMap<RouterAddress, HttpClient>()

    override fun listen(onRequest: (uri: String, respond: (HttpReply) -> Unit) -> Unit) =
        HttpEndpoint(self, eventLoops, onRequest).start()

    override fun poll(peer: RouterAddress, uri: String, timeout: Duration, onOutcome: (HttpOutcome) -> Unit) {
        val client = clients.getOrPut(peer) { HttpClient(eventLoops, InetSocketAddress(peer.host, peer.port)) }
        client.exchange(HttpCall(HttpMethod.GET, uri, acceptsGzip = true), timeout, onOutcome)
    }

    override fun closeAllExcept(known: Set<RouterAddress>) {
        (clients.keys - known).forEach { clients.remove(it)?.close() }
    }
}
