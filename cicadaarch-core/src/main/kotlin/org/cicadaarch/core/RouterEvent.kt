package org.cicadaarch.core

import org.cicadaarch.configuration.dissemination.ConfigurationEvent
import org.cicadaarch.membership.MembershipEvent
import org.cicadaarch.model.Revision
import org.cicadaarch.model.RouterId
import org.cicadaarch.model.RouterView
import org.cicadaarch.model.TargetId
import org.cicadaarch.model.fleet.FleetDocument
import org.cicadaarch.model.store.StoreResult
import org.cicadaarch.orders.OrdersEvent
import org.cicadaarch.request.IngressEvent

/**
 * All that can happen to a router.
 */
sealed class RouterEvent {
    /** Something happened to a request at this ingress. */
    data class Ingress(val event: IngressEvent) : RouterEvent()

    /** [message] came from router [from]. */
    data class PeerMessageReceived(val from: RouterId, val message: PeerMessage) : RouterEvent()

    /** Something happened to the list of live routers. */
    data class Membership(val event: MembershipEvent) : RouterEvent()

    /** Something happened to the configuration. */
    data class Configuration(val event: ConfigurationEvent) : RouterEvent()

    /** Something happened to the orders to engines. */
    data class Orders(val event: OrdersEvent) : RouterEvent()

    /** The list of live routers changed. */
    data class RoutersChanged(val view: RouterView) : RouterEvent()

    /** The document of [revision] came into force. */
    data class FleetChanged(val revision: Revision, val fleet: FleetDocument) : RouterEvent()

    /** The connection to [router] broke or could not be made. */
    data class PeerUnreachable(val router: RouterId) : RouterEvent()

    /** A target reported its load, some time ago. */
    data class LoadReported(val target: TargetId, val running: Int, val waiting: Int) : RouterEvent()

    /** The store answered the call [token]. */
    data class StoreCallCompleted(val token: StoreToken, val result: StoreResult) : RouterEvent()

    /** The periodic tick of the ledger, every [RouterReducer.LEDGER_TICK_INTERVAL], with the wall clock. */
    data class LedgerTick(val epochSeconds: Long) : RouterEvent()

    /** The periodic tick of all other roles, every [RouterReducer.TICK_INTERVAL]. */
    data object Tick : RouterEvent()
}
