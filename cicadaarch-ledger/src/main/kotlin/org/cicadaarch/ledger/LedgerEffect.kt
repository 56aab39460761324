package org.cicadaarch.ledger

import org.cicadaarch.model.RouterId
import org.cicadaarch.model.store.StoreCommand

/**
 * What the shard owners of one router want done.
 */
sealed class LedgerEffect {
    /** Sends [message] to the ingress on router [to], which may be this router. */
    data class Send(val to: RouterId, val message: LedgerMessage.ForIngress) : LedgerEffect()

    /** Sends [command] to the store; its result comes back as [LedgerEvent.StoreCallCompleted] with [token]. */
    data class Store(val token: LedgerToken, val command: StoreCommand) : LedgerEffect()

    /** Writes [notice] to the log. */
    data class Log(val notice: LedgerNotice) : LedgerEffect()
}
