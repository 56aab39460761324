package org.cicadaarch.ledger

import kotlinx.collections.immutable.PersistentMap
import org.cicadaarch.ledger.LedgerMessage.ClaimDenied
import org.cicadaarch.ledger.LedgerMessage.ClaimGranted
import org.cicadaarch.ledger.LedgerMessage.ClaimHeld
import org.cicadaarch.ledger.LedgerMessage.ClaimInquiry
import org.cicadaarch.ledger.LedgerMessage.ClaimRefused
import org.cicadaarch.model.Step

/**
 * Answers the waiting claims that the settled chain of a shard decides.
 */
internal class ClaimAnswers(private val settings: LedgerSettings) {
    fun answerAll(shard: ShardState, time: LedgerTime): Step<ShardState, LedgerEffect> {
        val pruned = shard.copy(inquiries = shard.inquiries.filterRecent(time))
        return shard.claims.values.fold(Step(pruned)) { step, waiting ->
            step.then { answer(it, waiting, time) }
        }
    }

    fun answer(shard: ShardState, waiting: WaitingClaim, time: LedgerTime): Step<ShardState, LedgerEffect> {
        if (time.now >= waiting.expiresAt) return Step(shard.without(waiting))
        val chain = shard.chain ?: return Step(shard)
        val claim = waiting.claim
        return when (val entry = chain.index.entryOf(claim.key, time.epochSeconds, settings.retentionSeconds)) {
            null -> unclaimed(shard, chain, waiting, time)

            is LedgerEntry.Finished -> answered(
                shard,
                waiting,
                ClaimDenied(claim, standingOf(entry.result), entry.digest),
            )

            is LedgerEntry.Open -> if (entry.nonce == claim.nonce) {
                answered(shard, waiting, ClaimGranted(claim))
            } else {
                held(shard, waiting, Claim(claim.key, entry.nonce), time)
            }
        }
    }

    private fun unclaimed(
        shard: ShardState,
        chain: ShardChain,
        waiting: WaitingClaim,
        time: LedgerTime,
    ): Step<ShardState, LedgerEffect> {
        if (chain.index.bytes < settings.maximumSnapshotBytes) return Step(shard)
        val index = chain.index.withoutExpired(time.epochSeconds, settings.retentionSeconds)
        val pruned = shard.copy(chain = chain.copy(index = index))
        if (index.bytes < settings.maximumSnapshotBytes) return Step(pruned)
        val step = answered(pruned, waiting, ClaimRefused(waiting.claim, ClaimRefusal.SHARD_FULL))
        return step.copy(effects = step.effects + LedgerEffect.Log(LedgerNotice.ShardFull(shard.number)))
    }

    private fun held(
        shard: ShardState,
        waiting: WaitingClaim,
        holder: Claim,
        time: LedgerTime,
    ): Step<ShardState, LedgerEffect> {
        val report = shard.reports[holder.nonce]?.record
        if (report is LedgerRecord.Finished) {
            return answered(shard, waiting, ClaimDenied(waiting.claim, standingOf(report.result), report.digest))
        }
        if (report != null) return told(shard, waiting)
        val inquiry = shard.inquiries[holder.nonce]
        if (inquiry != null && time.now - inquiry.heardAt >= settings.ingressLease) {
            return answered(shard, waiting, ClaimDenied(waiting.claim, PriorRequestStatus.MAY_HAVE_RUN))
        }
        return told(shard, waiting).then { inquired(it, holder, inquiry, time) }
    }

    private fun inquired(
        shard: ShardState,
        holder: Claim,
        inquiry: Inquiry?,
        time: LedgerTime,
    ): Step<ShardState, LedgerEffect> {
        if (inquiry != null && time.now - inquiry.askedAt < settings.inquiryInterval) return Step(shard)
        val asked = Inquiry(holder, askedAt = time.now, heardAt = inquiry?.heardAt ?: time.now)
        return Step(
            shard.copy(inquiries = shard.inquiries.put(holder.nonce, asked)),
            listOf(LedgerEffect.Send(holder.nonce.ingress, ClaimInquiry(holder))),
        )
    }

    private fun told(shard: ShardState, waiting: WaitingClaim): Step<ShardState, LedgerEffect> {
        if (waiting.toldHeld) return Step(shard)
        return Step(
            shard.copy(claims = shard.claims.put(waiting.claim.nonce, waiting.copy(toldHeld = true))),
            listOf(LedgerEffect.Send(waiting.claim.nonce.ingress, ClaimHeld(waiting.claim))),
        )
    }

    private fun answered(
        shard: ShardState,
        waiting: WaitingClaim,
        answer: LedgerMessage.ForIngress,
    ): Step<ShardState, LedgerEffect> =
        Step(shard.without(waiting), listOf(LedgerEffect.Send(waiting.claim.nonce.ingress, answer)))

    private fun standingOf(result: RunResult): PriorRequestStatus = when (result) {
        RunResult.COMPLETED -> PriorRequestStatus.COMPLETED
        RunResult.MAY_HAVE_RUN -> PriorRequestStatus.MAY_HAVE_RUN
    }

    private fun ShardState.without(waiting: WaitingClaim): ShardState =
        copy(claims = claims.remove(waiting.claim.nonce))

    private fun PersistentMap<ClaimNonce, Inquiry>.filterRecent(time: LedgerTime): PersistentMap<ClaimNonce, Inquiry> {
        val outdated = filterValues { time.now - it.askedAt >= settings.ingressLease }.keys
        return outdated.fold(this) { kept, nonce -> kept.remove(nonce) }
    }
}
