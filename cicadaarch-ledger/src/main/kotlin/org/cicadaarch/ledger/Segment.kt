package org.cicadaarch.ledger

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * One store value of a shard's chain: the [records] written at [sequence], in order.
 *
 * [writtenAt] is the writer's clock in seconds since the epoch.
 */
@Serializable
internal data class Segment(
    @SerialName("s") val sequence: Long,
    @SerialName("t") val writtenAt: Long,
    @SerialName("r") val records: List<LedgerRecord>,
)
