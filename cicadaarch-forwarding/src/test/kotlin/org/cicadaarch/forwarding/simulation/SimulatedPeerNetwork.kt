package org.cicadaarch.forwarding.simulation

import io.netty.handler.codec.http.HttpResponseStatus
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import org.cicadaarch.forwarding.http.EndpointRequest
import org.cicadaarch.forwarding.http.HttpReply
import org.cicadaarch.forwarding.peer.PeerTransport
import org.cicadaarch.model.RouterAddress
import org.cicadaarch.store.HttpOutcome

/** Carries polls between simulated routers, some of which can be cut off. */
internal class SimulatedPeerNetwork(private val time: VirtualTime) {
    private val servers = HashMap<RouterAddress, (EndpointRequest, (HttpReply) -> Unit) -> Unit>()

    /** Messages that each router received, and their characters. */
    val received = HashMap<RouterAddress, Traffic>()

    /** The time that a message takes. */
    var delay: Duration = 2.milliseconds

    /** Routers that neither receive nor send anything. */
    val cutOff = HashSet<RouterAddress>()

    /** The transport of the router [self]. */
    fun transportOf(self: RouterAddress): PeerTransport = object : PeerTransport {
        override fun listen(onRequest: (request: EndpointRequest, respond: (HttpReply) -> Unit) -> Unit) {
            servers[self] = onRequest
        }

        override fun poll(
            peer: RouterAddress,
            request: EndpointRequest,
            timeout: Duration,
            onOutcome: (HttpOutcome) -> Unit,
        ) {
            var isOpen = true
            fun end(outcome: HttpOutcome) {
                if (isOpen) onOutcome(outcome)
                isOpen = false
            }
            time.after(timeout) { end(HttpOutcome.TimedOut) }
            carry(self, peer) {
                count(peer, request.uri.length + request.body.length)
                (servers[peer] ?: return@carry)(request) { reply ->
                    carry(peer, self) {
                        count(self, reply.body.length)
                        end(HttpOutcome.Answered(HttpResponseStatus.OK.code(), reply.body))
                    }
                }
            }
        }

        override fun closeAllExcept(known: Set<RouterAddress>) = Unit
    }

    private fun carry(from: RouterAddress, to: RouterAddress, deliver: () -> Unit) {
        if (from in cutOff || to in cutOff) return
        time.after(delay) { if (from !in cutOff && to !in cutOff) deliver() }
    }

    private fun count(receiver: RouterAddress, characters: Int) {
        val before = received[receiver] ?: Traffic(messages = 0, characters = 0)
        received[receiver] = Traffic(before.messages + 1, before.characters + characters)
    }

    /** A number of [messages] with [characters] in all. */
    data class Traffic(val messages: Int, val characters: Long)
}
