package org.cicadaarch.core

import org.cicadaarch.ledger.LedgerToken
import org.cicadaarch.orders.OrdersToken

/**
 * Identifies a store call and the role that made it, so that the result can be handed to that role.
 */
sealed class StoreToken {
    /** A call for a ledger shard that this router owns. */
    data class Ledger(val token: LedgerToken) : StoreToken()

    /** The call with the number [callId] of the configuration role. */
    data class Configuration(val callId: Long) : StoreToken()

    /** A call of the orders role. */
    data class Orders(val token: OrdersToken) : StoreToken()
}
