package org.cicadaarch.forwarding.simulation

import io.netty.handler.codec.http.HttpResponseStatus
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import org.cicadaarch.forwarding.http.HttpReply
import org.cicadaarch.forwarding.peer.PeerTransport
import org.cicadaarch.model.RouterAddress
import org.cicadaarch.store.HttpOutcome

/** Carries polls between simulated routers, some of which can be cut off. */
internal class SimulatedPeerNetwork(private val time: VirtualTime) {
    private val servers = HashMap<RouterAddress, (String, (HttpReply) -> Unit) -> Unit>()

    /** Routers that neither receive nor send anything. */
    val cutOff = HashSet<RouterAddress>()

    /** The transport of the router [self]. */
    fun transportOf(self: RouterAddress): PeerTransport = object : PeerTransport {
        override fun listen(onRequest: (uri: String, respond: (HttpReply) -> Unit) -> Unit) {
            servers[self] = onRequest
        }

        override fun poll(peer: RouterAddress, uri: String, timeout: Duration, onOutcome: (HttpOutcome) -> Unit) {
            var isOpen = true
            fun end(outcome: HttpOutcome) {
                if (isOpen) onOutcome(outcome)
                isOpen = false
            }
            time.after(timeout) { end(HttpOutcome.TimedOut) }
            carry(self, peer) {
                (servers[peer] ?: return@carry)(uri) { reply ->
                    carry(peer, self) { end(HttpOutcome.Answered(HttpResponseStatus.OK.code(), reply.body)) }
                }
            }
        }

        override fun closeAllExcept(known: Set<RouterAddress>) = Unit
    }

    private fun carry(from: RouterAddress, to: RouterAddress, deliver: () -> Unit) {
        if (from in cutOff || to in cutOff) return
        time.after(DELAY) { if (from !in cutOff && to !in cutOff) deliver() }
    }

    private companion object {
        val DELAY = 2.milliseconds
    }
}
