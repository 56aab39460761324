package org.cicadaarch.ledger

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/**
 * A settled prefix of a shard's chain: [index] holds every segment up to [lastSequence], without a gap.
 *
 * [slotRevisions] are the store revisions of the segment slots written so far; [snapshotRevision] is null when there is
 * no snapshot, else the one that covers the segments up to [snapshotSequence].
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
