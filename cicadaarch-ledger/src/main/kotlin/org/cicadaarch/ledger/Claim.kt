package org.cicadaarch.ledger

import kotlinx.serialization.Serializable

/**
 * One request's claim to be the only run of [key].
 */
@Serializable
data class Claim(val key: ClaimKey, val nonce: ClaimNonce)
