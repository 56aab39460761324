package org.cicadaarch.ledger

import org.cicadaarch.ledger.ClaimantEffect.Granted
import org.cicadaarch.ledger.ClaimantEffect.KeyAlreadyUsed
import org.cicadaarch.ledger.ClaimantEffect.Refused
import org.cicadaarch.ledger.ClaimantEffect.Send
import org.cicadaarch.ledger.LedgerMessage.ClaimAbandoned
import org.cicadaarch.ledger.LedgerMessage.ClaimDenied
import org.cicadaarch.ledger.LedgerMessage.ClaimFinished
import org.cicadaarch.ledger.LedgerMessage.ClaimGranted
import org.cicadaarch.ledger.LedgerMessage.ClaimHeld
import org.cicadaarch.ledger.LedgerMessage.ClaimInquiry
import org.cicadaarch.ledger.LedgerMessage.ClaimRedirected
import org.cicadaarch.ledger.LedgerMessage.ClaimRefused
import org.cicadaarch.ledger.LedgerMessage.ClaimRequest
import org.cicadaarch.ledger.LedgerMessage.ClaimRunning
import org.cicadaarch.ledger.LedgerMessage.ReportRecorded
import org.cicadaarch.model.Outcome
import org.cicadaarch.model.RequestId
import org.cicadaarch.model.RouterId
import org.cicadaarch.model.RouterView
import org.cicadaarch.model.Step
import org.cicadaarch.model.Timestamp

/**
 * Obtains claims for the keyed requests of one ingress and reports how they ended.
 *
 * A claim is forgotten only when its end is recorded or when it was never granted, so an ingress may answer an inquiry
 * about a claim that it does not know by [ClaimAbandoned]: a recorded end outweighs a later abandonment.
 */
class ClaimantReducer(private val settings: ClaimantSettings = ClaimantSettings()) {
    /** The state and the effects after [event] at [now]. */
    fun reduce(state: ClaimantState, event: ClaimantEvent, now: Timestamp): Step<ClaimantState, ClaimantEffect> =
        when (event) {
            is ClaimantEvent.ClaimRequested -> requested(state, event, now)
            is ClaimantEvent.RequestEnded -> ended(state, event, now)
            is ClaimantEvent.Received -> received(state, event.from, event.message, now)
            is ClaimantEvent.RoutersChanged -> routersChanged(state, event.view, now)
            ClaimantEvent.Tick -> onEach(state) { current, held -> ticked(current, held, now) }
        }

    private fun requested(
        state: ClaimantState,
        event: ClaimantEvent.ClaimRequested,
        now: Timestamp,
    ): Step<ClaimantState, ClaimantEffect> {
        require(event.request !in state.claims) { "request ${event.request} was claimed for before" }
        if (state.claims.size >= settings.maximumClaims) {
            return Step(state, listOf(Refused(event.request, ClaimRefusal.OVERLOADED)))
        }
        val claim = Claim(ClaimKey.of(event.account, event.key), ClaimNonce(event.request, state.view.self))
        val held = HeldClaim(claim, ClaimPhase.Waiting(expiresAt = now + event.timeAllowed), repeatAt = now)
        return sent(state, held, now)
    }

    private fun ended(
        state: ClaimantState,
        event: ClaimantEvent.RequestEnded,
        now: Timestamp,
    ): Step<ClaimantState, ClaimantEffect> {
        val held = state.claims[event.request] ?: return Step(state)
        return when (held.phase) {
            is ClaimPhase.Waiting -> reported(state, held, ClaimAbandoned(held.claim), now)
            is ClaimPhase.Running -> reported(state, held, reportOf(held.claim, event), now)
            is ClaimPhase.Ended -> Step(state)
        }
    }

    private fun reportOf(claim: Claim, event: ClaimantEvent.RequestEnded): LedgerMessage.ForOwner =
        when (event.outcome) {
            Outcome.NOT_RUN -> ClaimAbandoned(claim)
            Outcome.COMPLETED -> ClaimFinished(claim, RunResult.COMPLETED, event.digest)
            Outcome.MAY_HAVE_RUN, Outcome.ALREADY_RUN -> ClaimFinished(claim, RunResult.MAY_HAVE_RUN)
        }

    private fun received(
        state: ClaimantState,
        from: RouterId,
        message: LedgerMessage.ForIngress,
        now: Timestamp,
    ): Step<ClaimantState, ClaimantEffect> {
        val held = state.claims[message.claim.nonce.request]
        return when (message) {
            is ClaimGranted -> granted(state, held, from, message.claim, now)
            is ClaimInquiry -> Step(state, listOf(Send(from, inquiryAnswer(held, message.claim))))
            is ClaimRedirected -> redirected(state, held, message.owner, now)
            is ReportRecorded -> recorded(state, held)
            is ClaimHeld -> Step(heldByOther(state, held))
            is ClaimDenied -> notGranted(state, held) { KeyAlreadyUsed(it, message.status, message.digest) }
            is ClaimRefused -> notGranted(state, held) { Refused(it, message.reason) }
        }
    }

    private fun granted(
        state: ClaimantState,
        held: HeldClaim?,
        from: RouterId,
        claim: Claim,
        now: Timestamp,
    ): Step<ClaimantState, ClaimantEffect> {
        if (held == null) return Step(state, listOf(Send(from, ClaimAbandoned(claim))))
        val phase = held.phase as? ClaimPhase.Waiting ?: return Step(state)
        if (now >= phase.expiresAt) return givenUp(state, held, phase, now)
        return Step(
            state.with(held.copy(phase = ClaimPhase.Running)),
            listOf(Granted(held.claim.nonce.request)),
        )
    }

    private fun inquiryAnswer(held: HeldClaim?, claim: Claim): LedgerMessage.ForOwner = when (val phase = held?.phase) {
        null -> ClaimAbandoned(claim)
        is ClaimPhase.Waiting, ClaimPhase.Running -> ClaimRunning(claim)
        is ClaimPhase.Ended -> phase.report
    }

    private fun redirected(
        state: ClaimantState,
        held: HeldClaim?,
        owner: RouterId,
        now: Timestamp,
    ): Step<ClaimantState, ClaimantEffect> {
        val message = held?.let { messageOf(it, now) }
        if (message == null || held.redirected) return Step(state)
        return Step(state.with(held.copy(redirected = true)), listOf(Send(owner, message)))
    }

    private fun recorded(state: ClaimantState, held: HeldClaim?): Step<ClaimantState, ClaimantEffect> =
        if (held?.phase is ClaimPhase.Ended) Step(state.without(held)) else Step(state)

    private fun heldByOther(state: ClaimantState, held: HeldClaim?): ClaimantState {
        val phase = held?.phase as? ClaimPhase.Waiting ?: return state
        return state.with(held.copy(phase = phase.copy(held = true)))
    }

    private fun notGranted(
        state: ClaimantState,
        held: HeldClaim?,
        effect: (RequestId) -> ClaimantEffect,
    ): Step<ClaimantState, ClaimantEffect> {
        if (held?.phase !is ClaimPhase.Waiting) return Step(state)
        return Step(state.without(held), listOf(effect(held.claim.nonce.request)))
    }

    private fun givenUp(
        state: ClaimantState,
        held: HeldClaim,
        phase: ClaimPhase.Waiting,
        now: Timestamp,
    ): Step<ClaimantState, ClaimantEffect> {
        val request = held.claim.nonce.request
        val answer = if (phase.held) {
            KeyAlreadyUsed(request, PriorRequestStatus.RUNNING, digest = null)
        } else {
            Refused(request, ClaimRefusal.LEDGER_UNAVAILABLE)
        }
        val step = reported(state, held, ClaimAbandoned(held.claim), now)
        return step.copy(effects = step.effects + answer)
    }

    private fun ticked(state: ClaimantState, held: HeldClaim, now: Timestamp): Step<ClaimantState, ClaimantEffect> {
        val phase = held.phase
        return when {
            phase is ClaimPhase.Waiting && now >= phase.expiresAt -> givenUp(state, held, phase, now)
            phase is ClaimPhase.Running || now < held.repeatAt -> Step(state)
            else -> sent(state, held, now)
        }
    }

    private fun routersChanged(
        state: ClaimantState,
        view: RouterView,
        now: Timestamp,
    ): Step<ClaimantState, ClaimantEffect> = onEach(state.copy(view = view)) { current, held ->
        val moved = ownerOf(held, state.view) != ownerOf(held, view)
        if (moved && held.phase !is ClaimPhase.Running) sent(current, held, now) else Step(current)
    }

    private fun reported(
        state: ClaimantState,
        held: HeldClaim,
        report: LedgerMessage.ForOwner,
        now: Timestamp,
    ): Step<ClaimantState, ClaimantEffect> = sent(state, held.copy(phase = ClaimPhase.Ended(report)), now)

    private fun sent(state: ClaimantState, held: HeldClaim, now: Timestamp): Step<ClaimantState, ClaimantEffect> {
        val interval = if (held.phase is ClaimPhase.Ended) settings.reportInterval else settings.askInterval
        val next = state.with(held.copy(repeatAt = now + interval, redirected = false))
        val owner = ownerOf(held, state.view)
        val message = messageOf(held, now)
        return if (owner == null || message == null) Step(next) else Step(next, listOf(Send(owner, message)))
    }

    private fun messageOf(held: HeldClaim, now: Timestamp): LedgerMessage.ForOwner? = when (val phase = held.phase) {
        is ClaimPhase.Waiting -> ClaimRequest(held.claim, phase.expiresAt - now)
        is ClaimPhase.Running -> null
        is ClaimPhase.Ended -> phase.report
    }

    private fun ownerOf(held: HeldClaim, view: RouterView): RouterId? =
        ShardOwnership.ownerOf(ShardOwnership.shardOf(held.claim.key, settings.shards), view)

    private fun onEach(
        state: ClaimantState,
        change: (ClaimantState, HeldClaim) -> Step<ClaimantState, ClaimantEffect>,
    ): Step<ClaimantState, ClaimantEffect> =
        state.claims.values.fold(Step(state)) { step, held -> step.then { change(it, held) } }

    private fun ClaimantState.with(held: HeldClaim): ClaimantState =
        copy(claims = claims.put(held.claim.nonce.request, held))

    private fun ClaimantState.without(held: HeldClaim): ClaimantState =
        copy(claims = claims.remove(held.claim.nonce.request))
}
