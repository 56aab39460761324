package org.cicadaarch.ledger

import kotlinx.serialization.Serializable

/**
 * Why a claim was given up before any byte of its request was offered to a target.
 */
@Serializable
enum class ClaimRefusal {
    /** No settled answer came within the time allowed; the fate of earlier requests with the key is not known. */
    LEDGER_UNAVAILABLE,

    /** The shard holds its maximum of claims within the idempotency window. */
    SHARD_FULL,

    /** Too many claims wait at the shard's owner or at this ingress. */
    OVERLOADED,
}
