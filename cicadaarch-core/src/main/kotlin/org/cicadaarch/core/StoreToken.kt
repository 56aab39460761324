package org.cicadaarch.core

import org.cicadaarch.ledger.LedgerToken

/**
 * Names the role and its call that a store's answer belongs to.
 */
sealed class StoreToken {
    /** A call of a shard owner of the ledger. */
    data class Ledger(val token: LedgerToken) : StoreToken()
}
