package org.cicadaarch.forwarding.peer

import kotlin.time.Duration
import org.cicadaarch.forwarding.http.EndpointRequest
import org.cicadaarch.forwarding.http.HttpReply
import org.cicadaarch.model.RouterAddress
import org.cicadaarch.store.HttpOutcome

/**
 * Carries polls between routers.
 */
internal interface PeerTransport {
    /** Passes the polls of other routers to [onRequest]. */
    fun listen(onRequest: (request: EndpointRequest, respond: (HttpReply) -> Unit) -> Unit)

    /** Sends [request] to [peer]. [onOutcome] is called once, within [timeout], on any thread. */
    fun poll(peer: RouterAddress, request: EndpointRequest, timeout: Duration, onOutcome: (HttpOutcome) -> Unit)

    /** Closes the connections to routers that are not in [known]. */
    fun closeAllExcept(known: Set<RouterAddress>)
}
