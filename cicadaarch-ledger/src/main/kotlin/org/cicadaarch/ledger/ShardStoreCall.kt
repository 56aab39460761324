package org.cicadaarch.ledger

/**
 * A store call of a shard that is not answered yet; [number] tells it from earlier ones.
 */
sealed class ShardStoreCall {
    /** Counts the shard's calls. */
    abstract val id: Long

    /** Reads the snapshot. */
    data class ReadSnapshot(override val id: Long) : ShardStoreCall()

    /** Reads a page of segments. */
    data class ReadSegments(override val id: Long) : ShardStoreCall()

    /** Writes [records] at [sequence], stamped [writtenAt]. */
    data class WriteSegment(
        override val id: Long,
        val sequence: Long,
        val writtenAt: Long,
        val records: List<LedgerRecord>,
    ) : ShardStoreCall()

    /** Writes a snapshot of [index] after [lastSequence]. */
    data class WriteSnapshot(override val id: Long, val lastSequence: Long, val index: ShardIndex) : ShardStoreCall()
}
