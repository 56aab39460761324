package org.cicadaarch.ledger

import org.cicadaarch.model.Timestamp

/**
 * The progress of a claim at its ingress.
 */
sealed class ClaimPhase {
    /**
     * Not granted yet; the ingress gives up at [expiresAt]. [isKeyHeld] is true once the shard owner has said that an
     * earlier request holds the key.
     */
    data class Waiting(val expiresAt: Timestamp, val isKeyHeld: Boolean = false) : ClaimPhase()

    /** Granted: the request may run. */
    data object Running : ClaimPhase()

    /** The request ended; [report] is resent until the shard owner confirms that it is in the store. */
    data class Ended(val report: LedgerMessage.ForOwner) : ClaimPhase()
}
