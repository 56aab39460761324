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
 * An input of [RouterReducer].
 */
sealed class RouterEvent {
    /** An event of the ingress role, which handles the requests that clients send to this router. */
    data class Ingress(val event: IngressEvent) : RouterEvent()

    /** [message] arrived from the router [from]. */
    data class PeerMessageReceived(val from: RouterId, val message: PeerMessage) : RouterEvent()

    /** An event of the membership role. */
    data class Membership(val event: MembershipEvent) : RouterEvent()

    /** An event of the configuration role. */
    data class Configuration(val event: ConfigurationEvent) : RouterEvent()

    /** An event of the orders role, which sends orders to model engines. */
    data class Orders(val event: OrdersEvent) : RouterEvent()

    /** The set of live routers changed. */
    data class RoutersChanged(val view: RouterView) : RouterEvent()

    /** The configuration document of [revision] took effect. */
    data class FleetChanged(val revision: Revision, val fleet: FleetDocument) : RouterEvent()

    /** The connection to [router] broke or could not be established. */
    data class PeerUnreachable(val router: RouterId) : RouterEvent()

    /** [target] reported its load; the report may already be outdated. */
    data class LoadReported(val target: TargetId, val running: Int, val waiting: Int) : RouterEvent()

    /** The store call [token] completed. */
    data class StoreCallCompleted(val token: StoreToken, val result: StoreResult) : RouterEvent()

    /** The periodic tick of the ledger, every [RouterReducer.LEDGER_TICK_INTERVAL], with the wall-clock time. */
    data class LedgerTick(val epochSeconds: Long) : RouterEvent()

    /** The periodic tick of all other roles, every [RouterReducer.TICK_INTERVAL]. */
    data object Tick : RouterEvent()
}
