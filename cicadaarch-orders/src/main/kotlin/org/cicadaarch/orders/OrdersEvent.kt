package org.cicadaarch.orders

import org.cicadaarch.model.RouterView
import org.cicadaarch.model.TargetId
import org.cicadaarch.model.fleet.FleetDocument
import org.cicadaarch.model.store.StoreResult

/**
 * What happens to the order holders of one router. Every effect with a token is answered exactly once.
 */
sealed class OrdersEvent {
    /** The store answered the call [token]. */
    data class StoreCallCompleted(val token: OrdersToken, val result: StoreResult) : OrdersEvent()

    /** [target] told its [state], or null when it could not be read. */
    data class EngineStateRead(val token: OrdersToken, val target: TargetId, val state: EngineState?) : OrdersEvent()

    /** [target] answered an order. */
    data class OrderCompleted(val token: OrdersToken, val target: TargetId, val result: OrderResult) : OrdersEvent()

    /** The list of live routers changed, and with it perhaps the groups that this router should hold. */
    data class RoutersChanged(val view: RouterView) : OrdersEvent()

    /** A configuration came into force. */
    data class FleetChanged(val fleet: FleetDocument) : OrdersEvent()

    /** The periodic tick, every 100 ms. */
    data object Tick : OrdersEvent()
}
