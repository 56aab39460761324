package org.cicadaarch.ledger

import kotlin.time.Duration
import org.cicadaarch.ledger.LedgerMessage.ClaimRefused
import org.cicadaarch.ledger.LedgerMessage.ClaimRequest
import org.cicadaarch.model.Step
import org.cicadaarch.model.store.StoreResult

/**
 * Handles the events of one shard at its owner. At most one store call of the shard is outstanding.
 */
internal class ShardReducer(private val settings: LedgerSettings) {
    private val resolver = ClaimResolver(settings)
    private val loader = ShardLoader(settings)
    private val writer = ShardWriter(settings)

    fun onClaimRequest(shard: ShardState, request: ClaimRequest, time: LedgerTime): Step<ShardState, LedgerEffect> {
        val nonce = request.claim.nonce
        if (nonce !in shard.claims && shard.claims.size >= settings.maximumPendingClaims) {
            val refusal = ClaimRefused(request.claim, ClaimRefusal.OVERLOADED)
            return Step(shard, listOf(LedgerEffect.Send(nonce.ingress, refusal)))
        }
        val pending = PendingClaim(request.claim, expiresAt = time.now + request.timeAllowed)
        val added = shard.copy(claims = shard.claims.put(nonce, shard.claims[nonce] ?: pending))
        return resolver.resolve(added, added.claims.getValue(nonce), time).then { startNextCall(it, time) }
    }

    fun onReport(shard: ShardState, record: LedgerRecord, time: LedgerTime): Step<ShardState, LedgerEffect> {
        val nonce = record.claim.nonce
        if (nonce !in shard.reports && shard.reports.size >= settings.maximumPendingClaims) return Step(shard)
        val report = shard.reports[nonce] ?: PendingReport(record, receivedAt = time.now)
        val added = shard.copy(
            reports = shard.reports.put(nonce, report),
            claims = shard.claims.remove(nonce),
            inquiries = shard.inquiries.remove(nonce),
        )
        return startNextCall(added, time)
    }

    fun onHolderRunning(shard: ShardState, claim: Claim, time: LedgerTime): ShardState {
        val inquiry = shard.inquiries[claim.nonce] ?: return shard
        return shard.copy(inquiries = shard.inquiries.put(claim.nonce, inquiry.copy(lastHeardAt = time.now)))
    }

    fun onTick(shard: ShardState, time: LedgerTime): Step<ShardState, LedgerEffect> {
        val isIdle = shard.claims.isEmpty() && shard.reports.isEmpty() && shard.inquiries.isEmpty()
        if (isIdle) return startNextCall(shard, time)
        return resolver.resolveAll(shard, time).then { startNextCall(it, time) }
    }

    fun onStoreResult(
        shard: ShardState,
        token: LedgerToken,
        result: StoreResult,
        time: LedgerTime,
    ): Step<ShardState, LedgerEffect> {
        val call = shard.call
        if (call == null || call.id != token.callId) return Step(shard)
        val idle = shard.copy(call = null)
        return onStoreFailure(idle, result, time)
            ?: onStoreResponse(idle, call, result, time)
                .then { resolver.resolveAll(it, time) }
                .then { startNextCall(it, time) }
    }

    private fun onStoreResponse(
        shard: ShardState,
        call: ShardStoreCall,
        result: StoreResult,
        time: LedgerTime,
    ): Step<ShardState, LedgerEffect> {
        val healthy = shard.copy(backoff = Duration.ZERO)
        return when (call) {
            is ShardStoreCall.ReadSnapshot -> loader.onSnapshotRead(healthy, result)
            is ShardStoreCall.ReadSegments -> loader.onSegmentsRead(healthy, result, time)
            is ShardStoreCall.WriteSegment -> writer.onSegmentResult(healthy, call, result, time)
            is ShardStoreCall.WriteSnapshot -> writer.onSnapshotResult(healthy, call, result)
        }
    }

    private fun onStoreFailure(
        shard: ShardState,
        result: StoreResult,
        time: LedgerTime,
    ): Step<ShardState, LedgerEffect>? {
        val reason = when (result) {
            is StoreResult.Refused -> result.reason
            is StoreResult.Unanswered -> result.reason
            else -> return null
        }
        val notice = LedgerNotice.StoreFailed(shard.number, reason)
        return Step(shard.withBackoff(settings, time.now), listOf(LedgerEffect.Log(notice)))
    }

    /** Starts the next call if none is outstanding, no failure delays it and the call budget allows it. */
    private fun startNextCall(shard: ShardState, time: LedgerTime): Step<ShardState, LedgerEffect> {
        val budget = shard.callBudget
        val startAt = maxOf(shard.retryAt, budget.nextCallAt(time.now, settings.callInterval))
        if (shard.call != null || time.now < startAt) return Step(shard)
        val step = chooseNextCall(shard, time)
        if (step.state.call == null) return step
        return step.copy(state = step.state.copy(callBudget = budget.afterCall(time.now, settings.callInterval)))
    }

    private fun chooseNextCall(shard: ShardState, time: LedgerTime): Step<ShardState, LedgerEffect> {
        val segmentLog = shard.segmentLog
        if (segmentLog != null) return writer.startWrite(shard, segmentLog, time)
        val isWanted = shard.claims.isNotEmpty() || shard.reports.isNotEmpty()
        return if (isWanted) loader.startRead(shard) else Step(shard)
    }
}
