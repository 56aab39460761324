package org.cicadaarch.ledger

import org.cicadaarch.model.Timestamp

/**
 * A claim at its ingress. [repeatAt] is when its request or report is sent again; [redirected] once the present one
 * followed a redirection.
 */
data class HeldClaim(val claim: Claim, val phase: ClaimPhase, val repeatAt: Timestamp, val redirected: Boolean = false)
