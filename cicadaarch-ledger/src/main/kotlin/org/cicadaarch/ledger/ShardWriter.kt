package org.cicadaarch.ledger

import org.cicadaarch.model.Step
import org.cicadaarch.model.store.ExpectedState
import org.cicadaarch.model.store.StoreCommand
import org.cicadaarch.model.store.StoreResult
import org.cicadaarch.model.store.StoredValue

/**
 * Writes a shard's segments and snapshots.
 *
 * A segment is appended to the log by compare-and-swap: its slot in the ring must be absent, or at the revision of the
 * old segment that this router read. If the response to a write is lost, the next write either succeeds because the
 * earlier one has not taken effect, or conflicts and thereby shows the segment that was written. So no claim is granted
 * on the basis of a write with an unknown result.
 */
internal class ShardWriter(private val settings: LedgerSettings) {
    fun startWrite(shard: ShardState, segmentLog: SegmentLog, time: LedgerTime): Step<ShardState, LedgerEffect> {
        if (segmentLog.lastSequence - segmentLog.snapshotSequence >= settings.snapshotInterval) {
            return startSnapshot(shard, segmentLog, time)
        }
        val records = recordsToWrite(shard, segmentLog, time)
        return if (records.isEmpty()) Step(shard) else startSegment(shard, segmentLog, records, time)
    }

    fun onSegmentResult(
        shard: ShardState,
        call: ShardStoreCall.WriteSegment,
        result: StoreResult,
        time: LedgerTime,
    ): Step<ShardState, LedgerEffect> = when (result) {
        is StoreResult.Written -> {
            val segment = Segment(call.sequence, call.writtenAt, call.records)
            appendSegment(shard, segment, result.version.revision)
        }

        is StoreResult.Conflict -> onSegmentConflict(shard, call, result.current, time)

        else -> error("unexpected result of a compare-and-set: $result")
    }

    fun onSnapshotResult(
        shard: ShardState,
        call: ShardStoreCall.WriteSnapshot,
        result: StoreResult,
    ): Step<ShardState, LedgerEffect> = when (result) {
        is StoreResult.Written -> Step(withSnapshot(shard, call.lastSequence, result.version.revision, call.index))
        is StoreResult.Conflict -> Step(onSnapshotConflict(shard, result.current))
        else -> error("unexpected result of a compare-and-set: $result")
    }

    private fun startSegment(
        shard: ShardState,
        segmentLog: SegmentLog,
        records: List<LedgerRecord>,
        time: LedgerTime,
    ): Step<ShardState, LedgerEffect> {
        val segment = Segment(segmentLog.lastSequence + 1, time.epochSeconds, records)
        val slot = settings.slotOf(segment.sequence)
        val command = StoreCommand.CompareAndSet(
            key = LedgerStoreKeys.segmentKey(shard.number, slot),
            expected = expectedState(segmentLog.slotRevisions[slot]),
            value = LedgerCodec.encode(segment),
        )
        val hasClaims = records.any { it is LedgerRecord.Claimed }
        val theoreticalWriteTime = maxOf(shard.theoreticalWriteTime, time.now) + settings.writeInterval
        val limited = if (hasClaims) shard.copy(theoreticalWriteTime = theoreticalWriteTime) else shard
        return limited.startCall(command) { callId ->
            ShardStoreCall.WriteSegment(callId, segment.sequence, segment.writtenAt, records)
        }
    }

    private fun startSnapshot(
        shard: ShardState,
        segmentLog: SegmentLog,
        time: LedgerTime,
    ): Step<ShardState, LedgerEffect> {
        val index = segmentLog.index.withoutExpired(time.epochSeconds, settings.retentionSeconds)
        val command = StoreCommand.CompareAndSet(
            key = LedgerStoreKeys.snapshotKey(shard.number),
            expected = expectedState(segmentLog.snapshotRevision),
            value = LedgerCodec.encode(Snapshot(segmentLog.lastSequence, index.entries)),
        )
        return shard.startCall(command) { ShardStoreCall.WriteSnapshot(it, segmentLog.lastSequence, index) }
    }

    private fun recordsToWrite(shard: ShardState, segmentLog: SegmentLog, time: LedgerTime): List<LedgerRecord> {
        val reports = shard.reports.values.take(settings.maximumSegmentRecords).map { it.record }
        val index = segmentLog.index.withRecords(reports, time.epochSeconds)
        val claims = if (isThrottled(shard, time)) emptyList() else claimsToWrite(shard, index, time)
        val areReportsDue = shard.reports.values.any { time.now - it.receivedAt >= settings.reportDelay }
        if (claims.isEmpty() && !areReportsDue) return emptyList()
        return (reports + claims).take(settings.maximumSegmentRecords)
    }

    private fun isThrottled(shard: ShardState, time: LedgerTime): Boolean =
        shard.theoreticalWriteTime - time.now > settings.writeInterval * (settings.writeBurst - 1)

    private fun claimsToWrite(shard: ShardState, index: ShardIndex, time: LedgerTime): List<LedgerRecord> =
        shard.claims.values
            .map { it.claim }
            .filter { index.entryOf(it.key, time.epochSeconds, settings.retentionSeconds) == null }
            .distinctBy { it.key }
            .map { LedgerRecord.Claimed(it) }

    private fun onSegmentConflict(
        shard: ShardState,
        call: ShardStoreCall.WriteSegment,
        current: StoredValue?,
        time: LedgerTime,
    ): Step<ShardState, LedgerEffect> {
        val segment = current?.let { LedgerCodec.decodeSegment(it.value) }
        if (segment == null || segment.sequence != call.sequence) return Step(shard.unloaded())
        val notice = LedgerNotice.SegmentContended(shard.number, segment.sequence)
        // The rate limiter starts afresh, so that the batch that lost the race can be written at once.
        val step = appendSegment(shard.copy(theoreticalWriteTime = time.now), segment, current.revision)
        return step.copy(effects = step.effects + LedgerEffect.Log(notice))
    }

    private fun appendSegment(shard: ShardState, segment: Segment, revision: Long): Step<ShardState, LedgerEffect> {
        val segmentLog = checkNotNull(shard.segmentLog) { "shard ${shard.number} wrote a segment before it was loaded" }
        val recorded = segment.records.filter { shard.reports[it.claim.nonce]?.record == it }.map { it.claim }
        val abandoned = segment.records.filterIsInstance<LedgerRecord.Abandoned>().map { it.claim.nonce }
        val next = shard.copy(
            segmentLog = segmentLog.append(segment, settings.slotOf(segment.sequence), revision),
            reports = recorded.fold(shard.reports) { reports, claim -> reports.remove(claim.nonce) },
            claims = abandoned.fold(shard.claims) { claims, nonce -> claims.remove(nonce) },
        )
        val acknowledgements = recorded.map {
            LedgerEffect.Send(it.nonce.ingress, LedgerMessage.ReportRecorded(it))
        }
        return Step(next, acknowledgements)
    }

    private fun onSnapshotConflict(shard: ShardState, current: StoredValue?): ShardState {
        val segmentLog = shard.segmentLog
        val snapshot = current?.let { LedgerCodec.decodeSnapshot(it.value) }
        if (segmentLog == null || snapshot == null || snapshot.lastSequence > segmentLog.lastSequence) {
            return shard.unloaded()
        }
        return withSnapshot(shard, snapshot.lastSequence, current.revision, segmentLog.index)
    }

    private fun withSnapshot(shard: ShardState, sequence: Long, revision: Long, index: ShardIndex): ShardState =
        shard.copy(
            segmentLog = shard.segmentLog?.copy(
                index = index,
                snapshotSequence = sequence,
                snapshotRevision = revision,
            ),
        )

    private fun expectedState(revision: Long?): ExpectedState =
        revision?.let { ExpectedState.AtVersion(it) } ?: ExpectedState.Absent
}
