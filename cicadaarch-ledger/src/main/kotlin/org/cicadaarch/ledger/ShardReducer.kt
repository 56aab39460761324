package org.cicadaarch.ledger

import kotlin.time.Duration
import org.cicadaarch.ledger.LedgerMessage.ClaimRefused
import org.cicadaarch.ledger.LedgerMessage.ClaimRequest
import org.cicadaarch.model.Step
import org.cicadaarch.model.store.StoreResult

/**
 * The events of one shard at its owner. After each, at most one store call is started.
 */
internal class ShardReducer(private val settings: LedgerSettings) {
    private val answers = ClaimAnswers(settings)
    private val loading = ShardLoading(settings)
    private val writing = ShardWriting(settings)

    fun claimRequested(shard: ShardState, request: ClaimRequest, time: LedgerTime): Step<ShardState, LedgerEffect> {
        val nonce = request.claim.nonce
        if (nonce !in shard.claims && shard.claims.size >= settings.maximumWaitingClaims) {
            val refusal = ClaimRefused(request.claim, ClaimRefusal.OVERLOADED)
            return Step(shard, listOf(LedgerEffect.Send(nonce.ingress, refusal)))
        }
        val waiting = WaitingClaim(request.claim, expiresAt = time.now + request.timeAllowed)
        val added = shard.copy(claims = shard.claims.put(nonce, shard.claims[nonce] ?: waiting))
        return answers.answer(added, added.claims.getValue(nonce), time).then { withCall(it, time) }
    }

    fun reported(shard: ShardState, record: LedgerRecord, time: LedgerTime): Step<ShardState, LedgerEffect> {
        val nonce = record.claim.nonce
        if (nonce !in shard.reports && shard.reports.size >= settings.maximumWaitingClaims) return Step(shard)
        val report = shard.reports[nonce] ?: WaitingReport(record, receivedAt = time.now)
        val added = shard.copy(
            reports = shard.reports.put(nonce, report),
            claims = shard.claims.remove(nonce),
            inquiries = shard.inquiries.remove(nonce),
        )
        return withCall(added, time)
    }

    fun heardOf(shard: ShardState, claim: Claim, time: LedgerTime): ShardState {
        val inquiry = shard.inquiries[claim.nonce] ?: return shard
        return shard.copy(inquiries = shard.inquiries.put(claim.nonce, inquiry.copy(heardAt = time.now)))
    }

    fun ticked(shard: ShardState, time: LedgerTime): Step<ShardState, LedgerEffect> {
        if (shard.claims.isEmpty() && shard.reports.isEmpty() && shard.inquiries.isEmpty()) return withCall(shard, time)
        return answers.answerAll(shard, time).then { withCall(it, time) }
    }

    fun storeAnswered(
        shard: ShardState,
        token: LedgerToken,
        result: StoreResult,
        time: LedgerTime,
    ): Step<ShardState, LedgerEffect> {
        val call = shard.call
        if (call == null || call.number != token.call) return Step(shard)
        val free = shard.copy(call = null)
        return failed(free, result, time)
            ?: answered(free, call, result, time)
                .then { answers.answerAll(it, time) }
                .then { withCall(it, time) }
    }

    private fun answered(
        shard: ShardState,
        call: ShardCall,
        result: StoreResult,
        time: LedgerTime,
    ): Step<ShardState, LedgerEffect> {
        val healthy = shard.copy(backoff = Duration.ZERO)
        return when (call) {
            is ShardCall.ReadSnapshot -> loading.snapshotRead(healthy, result)
            is ShardCall.ReadSegments -> loading.segmentsRead(healthy, result, time)
            is ShardCall.WriteSegment -> writing.segmentAnswered(healthy, call, result, time)
            is ShardCall.WriteSnapshot -> writing.snapshotAnswered(healthy, call, result)
        }
    }

    private fun failed(shard: ShardState, result: StoreResult, time: LedgerTime): Step<ShardState, LedgerEffect>? {
        val reason = when (result) {
            is StoreResult.Refused -> result.reason
            is StoreResult.Unanswered -> result.reason
            else -> return null
        }
        val notice = LedgerNotice.StoreFailed(shard.number, reason)
        return Step(shard.delayed(settings, time.now), listOf(LedgerEffect.Log(notice)))
    }

    private fun withCall(shard: ShardState, time: LedgerTime): Step<ShardState, LedgerEffect> {
        if (shard.call != null || time.now < shard.retryAt) return Step(shard)
        val chain = shard.chain
        if (chain != null) return writing.start(shard, chain, time)
        val isWanted = shard.claims.isNotEmpty() || shard.reports.isNotEmpty()
        return if (isWanted) loading.start(shard) else Step(shard)
    }
}
