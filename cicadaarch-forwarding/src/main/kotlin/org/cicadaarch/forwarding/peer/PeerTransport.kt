package org.cicadaarch.forwarding.peer

import kotlin.time.Duration
import org.cicadaarch.forwarding.http.HttpReply
import org.cicadaarch.model.RouterAddress
import org.cicadaarch.store.HttpOutcome

/**
 * Carries polls between routers.
 */
internal interface PeerTransport {
    /** Passes the polls of other routers to [onRequest]. */
    fun listen(onRequest: (uri: String, respond: (HttpReply) -> Unit) -> Unit)

    /** Sends a poll for [uri] to [peer]. [onOutcome] is called once, within [timeout], on any thread. */
    fun poll(peer: RouterAddress, uri: String, timeout: Duration, onOutcome: (HttpOutcome) -> Unit)

    /** Closes the connections to routers that are not in [known]. */
    fun closeAllExcept(known: Set<RouterAddress>)
}
