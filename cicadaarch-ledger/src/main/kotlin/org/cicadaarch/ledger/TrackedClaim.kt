package org.cicadaarch.ledger

import org.cicadaarch.model.Timestamp

/**
 * A claim as tracked by its ingress.
 *
 * Its claim request or report is resent at [nextSendAt]. [isRedirected] is true once the message has been resent to the
 * owner named in a redirect; further redirects are ignored until the next resend.
 */
data class TrackedClaim(
    val claim: Claim,
    val phase: ClaimPhase,
    val nextSendAt: Timestamp,
    val isRedirected: Boolean = false,
)
