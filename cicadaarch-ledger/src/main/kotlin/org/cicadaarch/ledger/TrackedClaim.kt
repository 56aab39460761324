package org.cicadaarch.ledger

import org.cicadaarch.model.Timestamp

/**
 * A claim at its ingress. [nextSendAt] is when its request or report is sent again; [isRedirected] once the present one
 * followed a redirection.
 */
data class TrackedClaim(
    val claim: Claim,
    val phase: ClaimPhase,
    val nextSendAt: Timestamp,
    val isRedirected: Boolean = false,
)
