package org.cicadaarch.ledger

/**
 * A store call of a shard that is not answered yet; [number] tells it from earlier ones.
 */
sealed class ShardCall {
    /** Counts the shard's calls. */
    abstract val number: Long

    /** Reads the snapshot. */
    data class ReadSnapshot(override val number: Long) : ShardCall()

    /** Reads a page of segments. */
    data class ReadSegments(override val number: Long) : ShardCall()

    /** Writes [records] at [sequence], stamped [writtenAt]. */
    data class WriteSegment(
        override val number: Long,
        val sequence: Long,
        val writtenAt: Long,
        val records: List<LedgerRecord>,
    ) : ShardCall()

    /** Writes a snapshot of [index] after [lastSequence]. */
    data class WriteSnapshot(override val number: Long, val lastSequence: Long, val index: ShardIndex) : ShardCall()
}
