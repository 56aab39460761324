package org.cicadaarch.ledger

import kotlinx.collections.immutable.PersistentMap
import org.cicadaarch.ledger.LedgerMessage.ClaimGranted
import org.cicadaarch.ledger.LedgerMessage.ClaimInquiry
import org.cicadaarch.ledger.LedgerMessage.ClaimRefused
import org.cicadaarch.ledger.LedgerMessage.KeyHeld
import org.cicadaarch.ledger.LedgerMessage.KeyUsed
import org.cicadaarch.model.Step

/**
 * Decides the pending claims of a shard by the part of its log that is known to be in the store.
 */
internal class ClaimResolver(private val settings: LedgerSettings) {
    fun resolveAll(shard: ShardState, time: LedgerTime): Step<ShardState, LedgerEffect> {
        val pruned = shard.copy(inquiries = shard.inquiries.withoutStale(time))
        return shard.claims.values.fold(Step(pruned)) { step, pending ->
            step.then { resolve(it, pending, time) }
        }
    }

    fun resolve(shard: ShardState, pending: PendingClaim, time: LedgerTime): Step<ShardState, LedgerEffect> {
        if (time.now >= pending.expiresAt) return Step(shard.withoutClaim(pending))
        val segmentLog = shard.segmentLog ?: return Step(shard)
        val claim = pending.claim
        return when (val entry = segmentLog.index.entryOf(claim.key, time.epochSeconds, settings.retentionSeconds)) {
            null -> onFreeKey(shard, segmentLog, pending, time)

            is LedgerEntry.Finished -> reply(
                shard,
                pending,
                KeyUsed(claim, statusOf(entry.result), entry.digest),
            )

            is LedgerEntry.Open -> if (entry.nonce == claim.nonce) {
                reply(shard, pending, ClaimGranted(claim))
            } else {
                onHeldKey(shard, pending, Claim(claim.key, entry.nonce), time)
            }
        }
    }

    private fun onFreeKey(
        shard: ShardState,
        segmentLog: SegmentLog,
        pending: PendingClaim,
        time: LedgerTime,
    ): Step<ShardState, LedgerEffect> {
        // With room in the shard, the claim stays pending until it is written in a segment.
        if (segmentLog.index.encodedSizeBound < settings.maximumSnapshotBytes) return Step(shard)
        val index = segmentLog.index.withoutExpired(time.epochSeconds, settings.retentionSeconds)
        val pruned = shard.copy(segmentLog = segmentLog.copy(index = index))
        if (index.encodedSizeBound < settings.maximumSnapshotBytes) return Step(pruned)
        val step = reply(pruned, pending, ClaimRefused(pending.claim, ClaimRefusal.SHARD_FULL))
        return step.copy(effects = step.effects + LedgerEffect.Log(LedgerNotice.ShardFull(shard.number)))
    }

    private fun onHeldKey(
        shard: ShardState,
        pending: PendingClaim,
        holder: Claim,
        time: LedgerTime,
    ): Step<ShardState, LedgerEffect> {
        val report = shard.reports[holder.nonce]?.record
        if (report is LedgerRecord.Finished) {
            return reply(shard, pending, KeyUsed(pending.claim, statusOf(report.result), report.digest))
        }
        // The holder was abandoned, so the key becomes free once that report is written.
        if (report != null) return withHeldNotice(shard, pending)
        val inquiry = shard.inquiries[holder.nonce]
        if (inquiry != null && time.now - inquiry.lastHeardAt >= settings.ingressLease) {
            return reply(shard, pending, KeyUsed(pending.claim, PriorRequestStatus.MAY_HAVE_RUN))
        }
        return withHeldNotice(shard, pending).then { withInquiry(it, holder, inquiry, time) }
    }

    private fun withInquiry(
        shard: ShardState,
        holder: Claim,
        inquiry: HolderInquiry?,
        time: LedgerTime,
    ): Step<ShardState, LedgerEffect> {
        if (inquiry != null && time.now - inquiry.lastSentAt < settings.inquiryInterval) return Step(shard)
        val next = HolderInquiry(holder, lastSentAt = time.now, lastHeardAt = inquiry?.lastHeardAt ?: time.now)
        return Step(
            shard.copy(inquiries = shard.inquiries.put(holder.nonce, next)),
            listOf(LedgerEffect.Send(holder.nonce.ingress, ClaimInquiry(holder))),
        )
    }

    private fun withHeldNotice(shard: ShardState, pending: PendingClaim): Step<ShardState, LedgerEffect> {
        if (pending.isHeldNoticeSent) return Step(shard)
        return Step(
            shard.copy(claims = shard.claims.put(pending.claim.nonce, pending.copy(isHeldNoticeSent = true))),
            listOf(LedgerEffect.Send(pending.claim.nonce.ingress, KeyHeld(pending.claim))),
        )
    }

    private fun reply(
        shard: ShardState,
        pending: PendingClaim,
        message: LedgerMessage.ForIngress,
    ): Step<ShardState, LedgerEffect> =
        Step(shard.withoutClaim(pending), listOf(LedgerEffect.Send(pending.claim.nonce.ingress, message)))

    private fun statusOf(result: RunResult): PriorRequestStatus = when (result) {
        RunResult.COMPLETED -> PriorRequestStatus.COMPLETED
        RunResult.MAY_HAVE_RUN -> PriorRequestStatus.MAY_HAVE_RUN
    }

    private fun ShardState.withoutClaim(pending: PendingClaim): ShardState =
        copy(claims = claims.remove(pending.claim.nonce))

    private fun PersistentMap<ClaimNonce, HolderInquiry>.withoutStale(
        time: LedgerTime,
    ): PersistentMap<ClaimNonce, HolderInquiry> {
        val outdated = filterValues { time.now - it.lastSentAt >= settings.ingressLease }.keys
        return outdated.fold(this) { kept, nonce -> kept.remove(nonce) }
    }
}
