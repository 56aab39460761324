package org.cicadaarch.ledger

import org.cicadaarch.model.Step
import org.cicadaarch.model.store.StoreCommand
import org.cicadaarch.model.store.StoreResult
import org.cicadaarch.model.store.StoredValue

/**
 * Loads a shard from the store: its snapshot, then all segment slots in pages.
 *
 * The reads are not an atomic view of the store. If another router writes segments meanwhile, either the segments read
 * have a gap and the load starts again, or this router's next compare-and-swap write conflicts.
 */
internal class ShardLoader(private val settings: LedgerSettings) {
    fun startRead(shard: ShardState): Step<ShardState, LedgerEffect> {
        val progress = shard.loading
        if (!progress.isSnapshotRead) {
            val command = StoreCommand.Read(LedgerStoreKeys.snapshotKey(shard.number))
            return shard.startCall(command, ShardStoreCall::ReadSnapshot)
        }
        val command = StoreCommand.ReadPrefix(
            prefix = LedgerStoreKeys.segmentPrefix(shard.number),
            from = LedgerStoreKeys.segmentKey(shard.number, progress.nextSlot),
            limit = settings.segmentsPerPage,
        )
        return shard.startCall(command, ShardStoreCall::ReadSegments)
    }

    fun onSnapshotRead(shard: ShardState, result: StoreResult): Step<ShardState, LedgerEffect> {
        check(result is StoreResult.Values) { "unexpected result of a read: $result" }
        return Step(shard.copy(loading = LoadProgress(isSnapshotRead = true, snapshot = result.values.firstOrNull())))
    }

    fun onSegmentsRead(shard: ShardState, result: StoreResult, time: LedgerTime): Step<ShardState, LedgerEffect> {
        check(result is StoreResult.Values) { "unexpected result of a read: $result" }
        val page = result.values.associateBy { LedgerStoreKeys.slotOf(it.key) }
        val progress = shard.loading.copy(
            segments = shard.loading.segments.putAll(page),
            nextSlot = (page.keys.maxOrNull() ?: 0) + 1,
        )
        if (page.size >= settings.segmentsPerPage) return Step(shard.copy(loading = progress))
        return finishLoad(shard, progress, time)
    }

    private fun finishLoad(
        shard: ShardState,
        progress: LoadProgress,
        time: LedgerTime,
    ): Step<ShardState, LedgerEffect> {
        val snapshot = progress.snapshot?.let {
            LedgerCodec.decodeSnapshot(it.value) ?: return onMalformed(shard, it, time)
        }
        val segments = progress.segments.mapValues { (_, value) ->
            LedgerCodec.decodeSegment(value.value) ?: return onMalformed(shard, value, time)
        }
        val start = SegmentLog(
            index = ShardIndex.of(snapshot?.entries.orEmpty()),
            lastSequence = snapshot?.lastSequence ?: 0,
            snapshotSequence = snapshot?.lastSequence ?: 0,
            snapshotRevision = progress.snapshot?.revision,
        )
        val segmentLog = replay(start, segments, progress.segments)
        if (segments.values.any { it.sequence > segmentLog.lastSequence }) return Step(shard.unloaded())
        val notice = LedgerNotice.ShardLoaded(shard.number, segmentLog.index.entries.size, segmentLog.lastSequence)
        return Step(shard.copy(segmentLog = segmentLog, loading = LoadProgress()), listOf(LedgerEffect.Log(notice)))
    }

    private fun replay(start: SegmentLog, segments: Map<Int, Segment>, values: Map<Int, StoredValue>): SegmentLog {
        val revisions = values.mapValues { (_, value) -> value.revision }
        val segmentLog = start.copy(slotRevisions = start.slotRevisions.putAll(revisions))
        return generateSequence(segmentLog) { current ->
            val slot = settings.slotOf(current.lastSequence + 1)
            segments[slot]
                ?.takeIf { it.sequence == current.lastSequence + 1 }
                ?.let { current.append(it, slot, revisions.getValue(slot)) }
        }.last()
    }

    private fun onMalformed(shard: ShardState, value: StoredValue, time: LedgerTime): Step<ShardState, LedgerEffect> =
        Step(
            shard.unloaded().withBackoff(settings, time.now),
            listOf(LedgerEffect.Log(LedgerNotice.ValueMalformed(shard.number, value.key))),
        )
}
