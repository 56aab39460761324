package org.cicadaarch.ledger

import org.cicadaarch.model.RouterId
import org.cicadaarch.model.store.StoreCommand

/**
 * Effects of [LedgerReducer], to be carried out by the router.
 */
sealed class LedgerEffect {
    /** Sends [message] to the ingress at router [to], which may be this router. */
    data class Send(val to: RouterId, val message: LedgerMessage.ForIngress) : LedgerEffect()

    /** Sends [command] to the store; the result is returned in [LedgerEvent.StoreCallCompleted] with [token]. */
    data class Store(val token: LedgerToken, val command: StoreCommand) : LedgerEffect()

    /** Writes [notice] to the log. */
    data class Log(val notice: LedgerNotice) : LedgerEffect()
}
