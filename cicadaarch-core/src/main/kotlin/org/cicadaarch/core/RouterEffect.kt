package org.cicadaarch.core

import org.cicadaarch.membership.MembershipMessage
import org.cicadaarch.model.Revision
import org.cicadaarch.model.RouterAddress
import org.cicadaarch.model.RouterId
import org.cicadaarch.model.store.StoreCommand
import org.cicadaarch.orders.OrdersEffect
import org.cicadaarch.request.IngressEffect

/**
 * A side effect that [RouterReducer] requests from the process that runs it.
 */
sealed class RouterEffect {
    /** Carries out [effect] of the ingress role. */
    data class Ingress(val effect: IngressEffect) : RouterEffect()

    /** Sends [message] to the router [to], which is never this one. */
    data class SendToPeer(val to: RouterId, val message: PeerMessage) : RouterEffect()

    /** Sends [message] in one datagram to the router at [to]. */
    data class SendDatagram(val to: RouterAddress, val message: MembershipMessage) : RouterEffect()

    /** Fetches the list of VMs from the platform; the result returns as a membership event. */
    data object FetchVirtualMachines : RouterEffect()

    /** Sends [command] to the store; the result returns as [RouterEvent.StoreCallCompleted] with [token]. */
    data class Store(val token: StoreToken, val command: StoreCommand) : RouterEffect()

    /** Parses [text] outside the reducer's thread; the result returns as a configuration event. */
    data class ParseDocument(val revision: Revision, val text: String) : RouterEffect()

    /** Reads an engine's state or sends it an order; the result returns as an event of the orders role. */
    data class Orders(val effect: OrdersEffect) : RouterEffect()

    /** Writes [notice] to the log. */
    data class Log(val notice: RouterNotice) : RouterEffect()
}
