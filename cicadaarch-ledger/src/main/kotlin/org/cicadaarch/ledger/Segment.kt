package org.cicadaarch.ledger

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * One segment of a shard's write-ahead log: the [records], in order, written as one store value at [sequence].
 *
 * [writtenAt] is the time of the write in seconds since the epoch, by the writer's clock.
 */
@Serializable
internal data class Segment(
    @SerialName("s") val sequence: Long,
    @SerialName("t") val writtenAt: Long,
    @SerialName("r") val records: List<LedgerRecord>,
)
