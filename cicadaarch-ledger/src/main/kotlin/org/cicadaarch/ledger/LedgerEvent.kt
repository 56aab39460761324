package org.cicadaarch.ledger

import org.cicadaarch.model.RouterId
import org.cicadaarch.model.RouterView
import org.cicadaarch.model.store.StoreResult

/**
 * Events of [LedgerReducer] at one router.
 */
sealed class LedgerEvent {
    /** [message] arrived from the ingress at router [from]. */
    data class Received(val from: RouterId, val message: LedgerMessage.ForOwner) : LedgerEvent()

    /** The store call identified by [token] completed with [result]. Each call completes exactly once. */
    data class StoreCallCompleted(val token: LedgerToken, val result: StoreResult) : LedgerEvent()

    /** The view of the live routers changed, which may change the shards that this router owns. */
    data class RoutersChanged(val view: RouterView) : LedgerEvent()

    /** The periodic tick, every 20 ms; [epochSeconds] is the wall clock in seconds since the epoch. */
    data class Tick(val epochSeconds: Long) : LedgerEvent()
}
