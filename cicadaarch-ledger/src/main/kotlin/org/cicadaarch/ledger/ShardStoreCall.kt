package org.cicadaarch.ledger

/**
 * The outstanding store call of a shard. A result with another [id] belongs to an earlier call and is ignored.
 */
sealed class ShardStoreCall {
    /** The serial number of the call in its shard. */
    abstract val id: Long

    /** Reads the snapshot. */
    data class ReadSnapshot(override val id: Long) : ShardStoreCall()

    /** Reads a page of segments. */
    data class ReadSegments(override val id: Long) : ShardStoreCall()

    /** Writes [records] as the segment at [sequence], with the timestamp [writtenAt]. */
    data class WriteSegment(
        override val id: Long,
        val sequence: Long,
        val writtenAt: Long,
        val records: List<LedgerRecord>,
    ) : ShardStoreCall()

    /** Writes a snapshot with the entries of [index], as of segment [lastSequence]. */
    data class WriteSnapshot(override val id: Long, val lastSequence: Long, val index: ShardIndex) : ShardStoreCall()
}
