package org.cicadaarch.ledger

import org.cicadaarch.model.Timestamp

/**
 * How far a claim has come at its ingress.
 */
sealed class ClaimPhase {
    /** Not granted; given up at [expiresAt]. [held] once its owner told that an earlier request holds the key. */
    data class Waiting(val expiresAt: Timestamp, val isKeyHeld: Boolean = false) : ClaimPhase()

    /** Granted: the request may run. */
    data object Running : ClaimPhase()

    /** The request ended; [report] is sent until the store holds it. */
    data class Ended(val report: LedgerMessage.ForOwner) : ClaimPhase()
}
