package org.cicadaarch.ledger

import kotlinx.serialization.Serializable

/**
 * Why a claim failed before any byte of its request was sent to a target.
 */
@Serializable
enum class ClaimRefusal {
    /** No final response came within the time allowed; whether an earlier request used the key is unknown. */
    LEDGER_UNAVAILABLE,

    /** The shard has reached its maximum size for keys within the idempotency window. */
    SHARD_FULL,

    /** Too many claims are pending at the shard owner or tracked at this ingress. */
    OVERLOADED,
}
