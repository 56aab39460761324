package org.cicadaarch.ledger

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/**
 * The prefix of a shard's write-ahead log that is known to be in the store, replayed into [index] up to [lastSequence]
 * without a gap.
 *
 * [slotRevisions] has the store revision of each segment slot in use, as the expected state of the next write to it.
 * [snapshotRevision] is the store revision of the snapshot, which covers the segments up to [snapshotSequence], or null
 * if there is none.
 */
data class SegmentLog(
    val index: ShardIndex = ShardIndex(),
    val lastSequence: Long = 0,
    val slotRevisions: PersistentMap<Int, Long> = persistentMapOf(),
    val snapshotSequence: Long = 0,
    val snapshotRevision: Long? = null,
) {
    internal fun append(segment: Segment, slot: Int, revision: Long): SegmentLog = copy(
        index = index.withRecords(segment.records, segment.writtenAt),
        lastSequence = segment.sequence,
        slotRevisions = slotRevisions.put(slot, revision),
    )
}
