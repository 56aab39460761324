package org.cicadaarch.ledger

import org.cicadaarch.model.Timestamp

/**
 * A claim that waits for an answer until [expiresAt]; [toldHeld] once its ingress knows that the key is held.
 */
data class WaitingClaim(val claim: Claim, val expiresAt: Timestamp, val toldHeld: Boolean = false)
