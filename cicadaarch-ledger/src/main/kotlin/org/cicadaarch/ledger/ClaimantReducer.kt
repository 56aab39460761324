package org.cicadaarch.ledger

import org.cicadaarch.ledger.ClaimantEffect.Granted
import org.cicadaarch.ledger.ClaimantEffect.KeyAlreadyUsed
import org.cicadaarch.ledger.ClaimantEffect.Refused
import org.cicadaarch.ledger.ClaimantEffect.Send
import org.cicadaarch.ledger.LedgerMessage.ClaimAbandoned
import org.cicadaarch.ledger.LedgerMessage.ClaimFinished
import org.cicadaarch.ledger.LedgerMessage.ClaimGranted
import org.cicadaarch.ledger.LedgerMessage.ClaimInquiry
import org.cicadaarch.ledger.LedgerMessage.ClaimRedirected
import org.cicadaarch.ledger.LedgerMessage.ClaimRefused
import org.cicadaarch.ledger.LedgerMessage.ClaimRequest
import org.cicadaarch.ledger.LedgerMessage.ClaimRunning
import org.cicadaarch.ledger.LedgerMessage.KeyHeld
import org.cicadaarch.ledger.LedgerMessage.KeyUsed
import org.cicadaarch.ledger.LedgerMessage.ReportRecorded
import org.cicadaarch.model.Outcome
import org.cicadaarch.model.RequestId
import org.cicadaarch.model.RouterId
import org.cicadaarch.model.RouterView
import org.cicadaarch.model.Step
import org.cicadaarch.model.Timestamp

/**
 * Obtains claims for the requests with idempotency keys at one ingress, and reports to the shard owners how the
 * requests ended.
 *
 * The ingress stops tracking a claim only when its end is recorded in the store or when it was not granted. It can
 * therefore answer an inquiry about an unknown claim with [ClaimAbandoned]: if the end is already recorded, the later
 * abandonment has no effect.
 */
class ClaimantReducer(private val settings: ClaimantSettings = ClaimantSettings()) {
    /** Returns the state and the effects after [event] at [now]. */
    fun reduce(state: ClaimantState, event: ClaimantEvent, now: Timestamp): Step<ClaimantState, ClaimantEffect> =
        when (event) {
            is ClaimantEvent.ClaimRequested -> onClaimRequested(state, event, now)
            is ClaimantEvent.RequestEnded -> onRequestEnded(state, event, now)
            is ClaimantEvent.Received -> onMessage(state, event.from, event.message, now)
            is ClaimantEvent.RoutersChanged -> onRoutersChanged(state, event.view, now)
            ClaimantEvent.Tick -> forEachClaim(state) { current, tracked -> onTick(current, tracked, now) }
        }

    private fun onClaimRequested(
        state: ClaimantState,
        event: ClaimantEvent.ClaimRequested,
        now: Timestamp,
    ): Step<ClaimantState, ClaimantEffect> {
        require(event.request !in state.claims) { "request ${event.request} has already requested a claim" }
        if (state.claims.size >= settings.maximumClaims) {
            return Step(state, listOf(Refused(event.request, ClaimRefusal.OVERLOADED)))
        }
        val claim = Claim(ClaimKey.of(event.account, event.key), ClaimNonce(event.request, state.view.self))
        val tracked = TrackedClaim(claim, ClaimPhase.Waiting(expiresAt = now + event.timeAllowed), nextSendAt = now)
        return send(state, tracked, now)
    }

    private fun onRequestEnded(
        state: ClaimantState,
        event: ClaimantEvent.RequestEnded,
        now: Timestamp,
    ): Step<ClaimantState, ClaimantEffect> {
        val tracked = state.claims[event.request] ?: return Step(state)
        return when (tracked.phase) {
            is ClaimPhase.Waiting -> report(state, tracked, ClaimAbandoned(tracked.claim), now)
            is ClaimPhase.Running -> report(state, tracked, reportOf(tracked.claim, event), now)
            is ClaimPhase.Ended -> Step(state)
        }
    }

    private fun reportOf(claim: Claim, event: ClaimantEvent.RequestEnded): LedgerMessage.ForOwner =
        when (event.outcome) {
            Outcome.NOT_RUN -> ClaimAbandoned(claim)
            Outcome.COMPLETED -> ClaimFinished(claim, RunResult.COMPLETED, event.digest)
            Outcome.MAY_HAVE_RUN, Outcome.ALREADY_RUN -> ClaimFinished(claim, RunResult.MAY_HAVE_RUN)
        }

    private fun onMessage(
        state: ClaimantState,
        from: RouterId,
        message: LedgerMessage.ForIngress,
        now: Timestamp,
    ): Step<ClaimantState, ClaimantEffect> {
        val tracked = state.claims[message.claim.nonce.request]
        return when (message) {
            is ClaimGranted -> onGranted(state, tracked, from, message.claim, now)
            is ClaimInquiry -> Step(state, listOf(Send(from, inquiryReply(tracked, message.claim))))
            is ClaimRedirected -> onRedirected(state, tracked, message.owner, now)
            is ReportRecorded -> onReportRecorded(state, tracked)
            is KeyHeld -> Step(onKeyHeld(state, tracked))
            is KeyUsed -> endWithoutGrant(state, tracked) { KeyAlreadyUsed(it, message.status, message.digest) }
            is ClaimRefused -> endWithoutGrant(state, tracked) { Refused(it, message.reason) }
        }
    }

    private fun onGranted(
        state: ClaimantState,
        tracked: TrackedClaim?,
        from: RouterId,
        claim: Claim,
        now: Timestamp,
    ): Step<ClaimantState, ClaimantEffect> {
        if (tracked == null) return Step(state, listOf(Send(from, ClaimAbandoned(claim))))
        val phase = tracked.phase as? ClaimPhase.Waiting ?: return Step(state)
        if (now >= phase.expiresAt) return giveUp(state, tracked, phase, now)
        return Step(
            state.withClaim(tracked.copy(phase = ClaimPhase.Running)),
            listOf(Granted(tracked.claim.nonce.request)),
        )
    }

    private fun inquiryReply(tracked: TrackedClaim?, claim: Claim): LedgerMessage.ForOwner =
        when (val phase = tracked?.phase) {
            null -> ClaimAbandoned(claim)
            is ClaimPhase.Waiting, ClaimPhase.Running -> ClaimRunning(claim)
            is ClaimPhase.Ended -> phase.report
        }

    private fun onRedirected(
        state: ClaimantState,
        tracked: TrackedClaim?,
        owner: RouterId,
        now: Timestamp,
    ): Step<ClaimantState, ClaimantEffect> {
        val message = tracked?.let { messageOf(it, now) }
        if (message == null || tracked.isRedirected) return Step(state)
        return Step(state.withClaim(tracked.copy(isRedirected = true)), listOf(Send(owner, message)))
    }

    private fun onReportRecorded(state: ClaimantState, tracked: TrackedClaim?): Step<ClaimantState, ClaimantEffect> =
        if (tracked?.phase is ClaimPhase.Ended) Step(state.withoutClaim(tracked)) else Step(state)

    private fun onKeyHeld(state: ClaimantState, tracked: TrackedClaim?): ClaimantState {
        val phase = tracked?.phase as? ClaimPhase.Waiting ?: return state
        return state.withClaim(tracked.copy(phase = phase.copy(isKeyHeld = true)))
    }

    private fun endWithoutGrant(
        state: ClaimantState,
        tracked: TrackedClaim?,
        effect: (RequestId) -> ClaimantEffect,
    ): Step<ClaimantState, ClaimantEffect> {
        if (tracked?.phase !is ClaimPhase.Waiting) return Step(state)
        return Step(state.withoutClaim(tracked), listOf(effect(tracked.claim.nonce.request)))
    }

    private fun giveUp(
        state: ClaimantState,
        tracked: TrackedClaim,
        phase: ClaimPhase.Waiting,
        now: Timestamp,
    ): Step<ClaimantState, ClaimantEffect> {
        val request = tracked.claim.nonce.request
        val outcome = if (phase.isKeyHeld) {
            KeyAlreadyUsed(request, PriorRequestStatus.RUNNING, digest = null)
        } else {
            Refused(request, ClaimRefusal.LEDGER_UNAVAILABLE)
        }
        val step = report(state, tracked, ClaimAbandoned(tracked.claim), now)
        return step.copy(effects = step.effects + outcome)
    }

    private fun onTick(
        state: ClaimantState,
        tracked: TrackedClaim,
        now: Timestamp,
    ): Step<ClaimantState, ClaimantEffect> {
        val phase = tracked.phase
        return when {
            phase is ClaimPhase.Waiting && now >= phase.expiresAt -> giveUp(state, tracked, phase, now)
            phase is ClaimPhase.Running || now < tracked.nextSendAt -> Step(state)
            else -> send(state, tracked, now)
        }
    }

    private fun onRoutersChanged(
        state: ClaimantState,
        view: RouterView,
        now: Timestamp,
    ): Step<ClaimantState, ClaimantEffect> = forEachClaim(state.copy(view = view)) { current, tracked ->
        val moved = ownerOf(tracked, state.view) != ownerOf(tracked, view)
        if (moved && tracked.phase !is ClaimPhase.Running) send(current, tracked, now) else Step(current)
    }

    private fun report(
        state: ClaimantState,
        tracked: TrackedClaim,
        report: LedgerMessage.ForOwner,
        now: Timestamp,
    ): Step<ClaimantState, ClaimantEffect> = send(state, tracked.copy(phase = ClaimPhase.Ended(report)), now)

    private fun send(state: ClaimantState, tracked: TrackedClaim, now: Timestamp): Step<ClaimantState, ClaimantEffect> {
        val isEnded = tracked.phase is ClaimPhase.Ended
        val interval = if (isEnded) settings.reportRetryInterval else settings.requestRetryInterval
        val next = state.withClaim(tracked.copy(nextSendAt = now + interval, isRedirected = false))
        val owner = ownerOf(tracked, state.view)
        val message = messageOf(tracked, now)
        return if (owner == null || message == null) Step(next) else Step(next, listOf(Send(owner, message)))
    }

    private fun messageOf(tracked: TrackedClaim, now: Timestamp): LedgerMessage.ForOwner? =
        when (val phase = tracked.phase) {
            is ClaimPhase.Waiting -> ClaimRequest(tracked.claim, phase.expiresAt - now)
            is ClaimPhase.Running -> null
            is ClaimPhase.Ended -> phase.report
        }

    private fun ownerOf(tracked: TrackedClaim, view: RouterView): RouterId? =
        ShardOwnership.ownerOf(ShardOwnership.shardOf(tracked.claim.key, settings.shards), view)

    private fun forEachClaim(
        state: ClaimantState,
        change: (ClaimantState, TrackedClaim) -> Step<ClaimantState, ClaimantEffect>,
    ): Step<ClaimantState, ClaimantEffect> =
        state.claims.values.fold(Step(state)) { step, tracked -> step.then { change(it, tracked) } }

    private fun ClaimantState.withClaim(tracked: TrackedClaim): ClaimantState =
        copy(claims = claims.put(tracked.claim.nonce.request, tracked))

    private fun ClaimantState.withoutClaim(tracked: TrackedClaim): ClaimantState =
        copy(claims = claims.remove(tracked.claim.nonce.request))
}
