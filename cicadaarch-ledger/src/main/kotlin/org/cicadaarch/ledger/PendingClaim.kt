package org.cicadaarch.ledger

import org.cicadaarch.model.Timestamp

/**
 * A claim that waits for an answer until [expiresAt]; [isHeldNoticeSent] once its ingress knows that the key is held.
 */
data class PendingClaim(val claim: Claim, val expiresAt: Timestamp, val isHeldNoticeSent: Boolean = false)
