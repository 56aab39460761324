package org.cicadaarch.ledger

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * The [entries] of a shard after all segments up to and including [lastSequence].
 */
@Serializable
internal data class Snapshot(
    @SerialName("s") val lastSequence: Long,
    @SerialName("e") val entries: Map<ClaimKey, LedgerEntry>,
)
