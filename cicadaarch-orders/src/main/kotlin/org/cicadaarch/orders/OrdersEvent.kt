package org.cicadaarch.orders

import org.cicadaarch.model.RouterView
import org.cicadaarch.model.TargetId
import org.cicadaarch.model.fleet.FleetDocument
import org.cicadaarch.model.store.StoreResult

/**
 * An input of [OrdersReducer]. Exactly one completion event follows every effect that has a token.
 */
sealed class OrdersEvent {
    /** The store call [token] completed. */
    data class StoreCallCompleted(val token: OrdersToken, val result: StoreResult) : OrdersEvent()

    /** [target] reported its [state], which is null when the read failed. */
    data class EngineStateRead(val token: OrdersToken, val target: TargetId, val state: EngineState?) : OrdersEvent()

    /** The order [token] to [target] completed. */
    data class OrderCompleted(val token: OrdersToken, val target: TargetId, val result: OrderResult) : OrdersEvent()

    /** The set of live routers changed, and with it possibly the groups that this router should hold. */
    data class RoutersChanged(val view: RouterView) : OrdersEvent()

    /** A new configuration took effect. */
    data class FleetChanged(val fleet: FleetDocument) : OrdersEvent()

    /** The periodic tick, every 100 ms. */
    data object Tick : OrdersEvent()
}
