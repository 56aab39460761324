package org.cicadaarch.ledger

import org.cicadaarch.model.RouterId
import org.cicadaarch.model.RouterView
import org.cicadaarch.model.store.StoreResult

/**
 * What happens to the shard owners of one router.
 */
sealed class LedgerEvent {
    /** [message] came from the ingress on router [from]. */
    data class Received(val from: RouterId, val message: LedgerMessage.ForOwner) : LedgerEvent()

    /** The store answered the call [token] with [result]; every call is answered exactly once. */
    data class StoreCallCompleted(val token: LedgerToken, val result: StoreResult) : LedgerEvent()

    /** The list of live routers changed, and with it perhaps the shards that this router owns. */
    data class RoutersChanged(val view: RouterView) : LedgerEvent()

    /** The periodic tick, every 20 ms, with the wall clock in [epochSeconds]. */
    data class Tick(val epochSeconds: Long) : LedgerEvent()
}
