package org.cicadaarch.core

import org.cicadaarch.model.RouterId
import org.cicadaarch.request.IngressEffect

/**
 * All that a router's reducer wants done by the process around it.
 */
sealed class RouterEffect {
    /** Carries out [effect] for a request of this ingress. */
    data class Ingress(val effect: IngressEffect) : RouterEffect()

    /** Sends [message] to the other router [to]. */
    data class SendToPeer(val to: RouterId, val message: PeerMessage) : RouterEffect()
}
