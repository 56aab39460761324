package org.cicadaarch.core

import org.cicadaarch.ledger.LedgerToken
import org.cicadaarch.orders.OrdersToken

/**
 * Names the role and its call that a store's answer belongs to.
 */
sealed class StoreToken {
    /** A call of a shard owner of the ledger. */
    data class Ledger(val token: LedgerToken) : StoreToken()

    /** Call number [call] of the configuration. */
    data class Configuration(val call: Long) : StoreToken()

    /** A call of an order holder. */
    data class Orders(val token: OrdersToken) : StoreToken()
}
