package org.cicadaarch.ledger

import org.cicadaarch.model.Timestamp

/**
 * A claim that waits at the shard owner for a decision until [expiresAt]. [isHeldNoticeSent] is true once
 * [LedgerMessage.KeyHeld] was sent to its ingress.
 */
data class PendingClaim(val claim: Claim, val expiresAt: Timestamp, val isHeldNoticeSent: Boolean = false)
