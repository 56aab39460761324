package org.cicadaarch.core

import org.cicadaarch.ledger.LedgerNotice
import org.cicadaarch.membership.MembershipEffect
import org.cicadaarch.membership.MembershipMessage
import org.cicadaarch.model.RouterAddress
import org.cicadaarch.model.RouterId
import org.cicadaarch.model.store.StoreCommand
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

    /** Something about other routers that an operator may want to know. */
    data class MembershipNotice(val notice: MembershipEffect) : RouterEffect()

    /** Sends [command] to the store; the answer comes back with [token]. */
    data class Store(val token: StoreToken, val command: StoreCommand) : RouterEffect()

    /** Something about the ledger that an operator may want to know. */
    data class NoticeOfLedger(val notice: LedgerNotice) : RouterEffect()
}
