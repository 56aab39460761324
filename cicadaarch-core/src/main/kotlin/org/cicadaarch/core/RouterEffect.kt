package org.cicadaarch.core

import org.cicadaarch.membership.MembershipMessage
import org.cicadaarch.model.Revision
import org.cicadaarch.model.RouterAddress
import org.cicadaarch.model.RouterId
import org.cicadaarch.model.store.StoreCommand
import org.cicadaarch.orders.OrdersEffect
import org.cicadaarch.request.IngressEffect

/**
 * All that a router's reducer wants done by the process around it.
 */
sealed class RouterEffect {
    /** Carries out [effect] for a request of this ingress. */
    data class Ingress(val effect: IngressEffect) : RouterEffect()

    /** Sends [message] to the other router [to]. */
    data class SendToPeer(val to: RouterId, val message: PeerMessage) : RouterEffect()

    /** Sends [message] in one datagram to the router at [to]. */
    data class SendDatagram(val to: RouterAddress, val message: MembershipMessage) : RouterEffect()

    /** Reads the platform's list of VMs; the answer comes back as a membership event. */
    data object FetchVirtualMachines : RouterEffect()

    /** Sends [command] to the store; the answer comes back with [token]. */
    data class Store(val token: StoreToken, val command: StoreCommand) : RouterEffect()

    /** Parses [text], away from the reducer's thread; the result comes back as a configuration event. */
    data class ParseDocument(val revision: Revision, val text: String) : RouterEffect()

    /** Reads an engine's state or sends it an order; the answer comes back as an event of the orders. */
    data class Orders(val effect: OrdersEffect) : RouterEffect()

    /** Writes [notice] to the log. */
    data class Log(val notice: RouterNotice) : RouterEffect()
}
