package org.cicadaarch.ledger

import kotlinx.serialization.Serializable

/**
 * A request's claim to be the only one that runs with the idempotency key [key].
 */
@Serializable
data class Claim(val key: ClaimKey, val nonce: ClaimNonce)
