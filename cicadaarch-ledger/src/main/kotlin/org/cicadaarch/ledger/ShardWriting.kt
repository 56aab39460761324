package org.cicadaarch.ledger

import org.cicadaarch.model.Step
import org.cicadaarch.model.store.ExpectedState
import org.cicadaarch.model.store.StoreCommand
import org.cicadaarch.model.store.StoreResult
import org.cicadaarch.model.store.StoredValue

/**
 * Writes a shard's segments and snapshots.
 *
 * A segment is written only where the chain ends: its slot must still be absent, or hold the segment of the previous
 * lap that this router read. When the answer is lost the next write meets either the same end, or a conflict that shows
 * what was written; so nothing is granted from a write that may not hold.
 */
internal class ShardWriting(private val settings: LedgerSettings) {
    fun start(shard: ShardState, chain: ShardChain, time: LedgerTime): Step<ShardState, LedgerEffect> {
        if (chain.lastSequence - chain.snapshotSequence >= settings.snapshotInterval) {
            return startSnapshot(shard, chain, time)
        }
        val records = recordsToWrite(shard, chain, time)
        return if (records.isEmpty()) Step(shard) else startSegment(shard, chain, records, time)
    }

    fun segmentAnswered(
        shard: ShardState,
        call: ShardCall.WriteSegment,
        result: StoreResult,
        time: LedgerTime,
    ): Step<ShardState, LedgerEffect> = when (result) {
        is StoreResult.Written -> {
            val segment = Segment(call.sequence, call.writtenAt, call.records)
            extended(shard, segment, result.revision)
        }

        is StoreResult.Conflict -> lost(shard, call, result.current, time)

        else -> error("a conditional write was answered by $result")
    }

    fun snapshotAnswered(
        shard: ShardState,
        call: ShardCall.WriteSnapshot,
        result: StoreResult,
    ): Step<ShardState, LedgerEffect> = when (result) {
        is StoreResult.Written -> Step(withSnapshot(shard, call.lastSequence, result.revision, call.index))
        is StoreResult.Conflict -> Step(withOtherSnapshot(shard, result.current))
        else -> error("a conditional write was answered by $result")
    }

    private fun startSegment(
        shard: ShardState,
        chain: ShardChain,
        records: List<LedgerRecord>,
        time: LedgerTime,
    ): Step<ShardState, LedgerEffect> {
        val segment = Segment(chain.lastSequence + 1, time.epochSeconds, records)
        val slot = settings.slotOf(segment.sequence)
        val command = StoreCommand.CompareAndSet(
            key = LedgerKeys.segment(shard.number, slot),
            expected = expected(chain.slotRevisions[slot]),
            value = LedgerCodec.encode(segment),
        )
        val hasClaims = records.any { it is LedgerRecord.Claimed }
        val pacedUntil = maxOf(shard.pacedUntil, time.now) + settings.writeInterval
        return shard.copy(pacedUntil = if (hasClaims) pacedUntil else shard.pacedUntil).calling(command) { number ->
            ShardCall.WriteSegment(number, segment.sequence, segment.writtenAt, records)
        }
    }

    private fun startSnapshot(shard: ShardState, chain: ShardChain, time: LedgerTime): Step<ShardState, LedgerEffect> {
        val index = chain.index.withoutExpired(time.epochSeconds, settings.retentionSeconds)
        val command = StoreCommand.CompareAndSet(
            key = LedgerKeys.snapshot(shard.number),
            expected = expected(chain.snapshotRevision),
            value = LedgerCodec.encode(Snapshot(chain.lastSequence, index.entries)),
        )
        return shard.calling(command) { ShardCall.WriteSnapshot(it, chain.lastSequence, index) }
    }

    private fun recordsToWrite(shard: ShardState, chain: ShardChain, time: LedgerTime): List<LedgerRecord> {
        val reports = shard.reports.values.take(settings.maximumSegmentRecords).map { it.record }
        val index = chain.index.after(reports, time.epochSeconds)
        val claims = if (isPaced(shard, time)) emptyList() else claimsToWrite(shard, index, time)
        val areReportsDue = shard.reports.values.any { time.now - it.receivedAt >= settings.reportDelay }
        if (claims.isEmpty() && !areReportsDue) return emptyList()
        return (reports + claims).take(settings.maximumSegmentRecords)
    }

    private fun isPaced(shard: ShardState, time: LedgerTime): Boolean =
        shard.pacedUntil - time.now > settings.writeInterval * (settings.writeBurst - 1)

    private fun claimsToWrite(shard: ShardState, index: ShardIndex, time: LedgerTime): List<LedgerRecord> =
        shard.claims.values
            .map { it.claim }
            .filter { index.entryOf(it.key, time.epochSeconds, settings.retentionSeconds) == null }
            .distinctBy { it.key }
            .map { LedgerRecord.Claimed(it) }

    private fun lost(
        shard: ShardState,
        call: ShardCall.WriteSegment,
        current: StoredValue?,
        time: LedgerTime,
    ): Step<ShardState, LedgerEffect> {
        val segment = current?.let { LedgerCodec.segment(it.value) }
        if (segment == null || segment.sequence != call.sequence) return Step(shard.unloaded())
        val notice = LedgerNotice.SegmentContended(shard.number, segment.sequence)
        val step = extended(shard.copy(pacedUntil = time.now), segment, current.revision)
        return step.copy(effects = step.effects + LedgerEffect.Log(notice))
    }

    private fun extended(shard: ShardState, segment: Segment, revision: Long): Step<ShardState, LedgerEffect> {
        val chain = checkNotNull(shard.chain) { "shard ${shard.number} wrote a segment before it was loaded" }
        val recorded = segment.records.filter { shard.reports[it.claim.nonce]?.record == it }.map { it.claim }
        val abandoned = segment.records.filterIsInstance<LedgerRecord.Abandoned>().map { it.claim.nonce }
        val next = shard.copy(
            chain = chain.after(segment, settings.slotOf(segment.sequence), revision),
            reports = recorded.fold(shard.reports) { reports, claim -> reports.remove(claim.nonce) },
            claims = abandoned.fold(shard.claims) { claims, nonce -> claims.remove(nonce) },
        )
        val acknowledgements = recorded.map {
            LedgerEffect.Send(it.nonce.ingress, LedgerMessage.ReportRecorded(it))
        }
        return Step(next, acknowledgements)
    }

    private fun withOtherSnapshot(shard: ShardState, current: StoredValue?): ShardState {
        val chain = shard.chain
        val snapshot = current?.let { LedgerCodec.snapshot(it.value) }
        if (chain == null || snapshot == null || snapshot.lastSequence > chain.lastSequence) return shard.unloaded()
        return withSnapshot(shard, snapshot.lastSequence, current.revision, chain.index)
    }

    private fun withSnapshot(shard: ShardState, sequence: Long, revision: Long, index: ShardIndex): ShardState =
        shard.copy(
            chain = shard.chain?.copy(index = index, snapshotSequence = sequence, snapshotRevision = revision),
        )

    private fun expected(revision: Long?): ExpectedState =
        revision?.let { ExpectedState.AtRevision(it) } ?: ExpectedState.Absent
}
