package org.cicadaarch.ledger

import org.cicadaarch.model.Step
import org.cicadaarch.model.store.StoreCommand
import org.cicadaarch.model.store.StoreResult
import org.cicadaarch.model.store.StoredValue

/**
 * Reads a shard from the store: its snapshot, then all segment slots in pages.
 *
 * The reads are no common view of the store. Segments that other routers write meanwhile show as a gap, after which the
 * load starts again, or as a conflict of this router's next write.
 */
internal class ShardLoading(private val settings: LedgerSettings) {
    fun start(shard: ShardState): Step<ShardState, LedgerEffect> {
        val progress = shard.loading
        if (!progress.snapshotRead) {
            return shard.calling(StoreCommand.Read(LedgerKeys.snapshot(shard.number)), ShardCall::ReadSnapshot)
        }
        val command = StoreCommand.ReadPrefix(
            prefix = LedgerKeys.segments(shard.number),
            from = LedgerKeys.segment(shard.number, progress.nextSlot),
            limit = settings.segmentsPerRead,
        )
        return shard.calling(command, ShardCall::ReadSegments)
    }

    fun snapshotRead(shard: ShardState, result: StoreResult): Step<ShardState, LedgerEffect> {
        check(result is StoreResult.Values) { "a read was answered by $result" }
        return Step(shard.copy(loading = LoadProgress(snapshotRead = true, snapshot = result.values.firstOrNull())))
    }

    fun segmentsRead(shard: ShardState, result: StoreResult, time: LedgerTime): Step<ShardState, LedgerEffect> {
        check(result is StoreResult.Values) { "a read was answered by $result" }
        val page = result.values.associateBy { LedgerKeys.slotOf(it.key) }
        val progress = shard.loading.copy(
            segments = shard.loading.segments.putAll(page),
            nextSlot = (page.keys.maxOrNull() ?: 0) + 1,
        )
        if (page.size >= settings.segmentsPerRead) return Step(shard.copy(loading = progress))
        return loaded(shard, progress, time)
    }

    private fun loaded(shard: ShardState, progress: LoadProgress, time: LedgerTime): Step<ShardState, LedgerEffect> {
        val snapshot = progress.snapshot?.let {
            LedgerCodec.snapshot(it.value) ?: return malformed(shard, it, time)
        }
        val segments = progress.segments.mapValues { (_, value) ->
            LedgerCodec.segment(value.value) ?: return malformed(shard, value, time)
        }
        val start = ShardChain(
            index = ShardIndex.of(snapshot?.entries.orEmpty()),
            lastSequence = snapshot?.lastSequence ?: 0,
            snapshotSequence = snapshot?.lastSequence ?: 0,
            snapshotRevision = progress.snapshot?.revision,
        )
        val chain = withSegments(start, segments, progress.segments)
        if (segments.values.any { it.sequence > chain.lastSequence }) return Step(shard.unloaded())
        val notice = LedgerNotice.ShardLoaded(shard.number, chain.index.entries.size, chain.lastSequence)
        return Step(shard.copy(chain = chain, loading = LoadProgress()), listOf(LedgerEffect.Log(notice)))
    }

    private fun withSegments(
        start: ShardChain,
        segments: Map<Int, Segment>,
        values: Map<Int, StoredValue>,
    ): ShardChain {
        val revisions = values.mapValues { (_, value) -> value.revision }
        val chain = start.copy(slotRevisions = start.slotRevisions.putAll(revisions))
        return generateSequence(chain) { current ->
            val slot = settings.slotOf(current.lastSequence + 1)
            segments[slot]
                ?.takeIf { it.sequence == current.lastSequence + 1 }
                ?.let { current.after(it, slot, revisions.getValue(slot)) }
        }.last()
    }

    private fun malformed(shard: ShardState, value: StoredValue, time: LedgerTime): Step<ShardState, LedgerEffect> =
        Step(
            shard.unloaded().delayed(settings, time.now),
            listOf(LedgerEffect.Log(LedgerNotice.ValueMalformed(shard.number, value.key))),
        )
}
