package org.cicadaarch.request

import kotlin.time.Duration
import org.cicadaarch.admission.AdmissionMessage
import org.cicadaarch.model.Idempotency
import org.cicadaarch.model.Outcome
import org.cicadaarch.model.RequestHead
import org.cicadaarch.model.RequestId
import org.cicadaarch.model.RouterView
import org.cicadaarch.model.Step
import org.cicadaarch.model.Timestamp
import org.cicadaarch.request.RequestPhase.BackingOff
import org.cicadaarch.request.RequestPhase.Claiming
import org.cicadaarch.request.RequestPhase.Running
import org.cicadaarch.request.RequestPhase.Seeking

/**
 * The life of every request at its ingress: claim, permit, attempts on targets, retries, outcome.
 *
 * A request ends exactly once, with one [IngressEffect.EndRequest]. A request that is not idempotent is offered to a
 * second target only after proof that the first did not start it.
 */
class IngressReducer(private val settings: IngressSettings = IngressSettings()) {
    /** The state and the effects after [event] at [now]. */
    fun reduce(state: IngressState, event: IngressEvent, now: Timestamp): Step<IngressState, IngressEffect> {
        val transition = IngressTransition(state, settings, now)
        when (event) {
            is IngressEvent.Arrived -> arrived(transition, event.head)

            is IngressEvent.ClaimAnswered -> claimAnswered(transition, event)

            is IngressEvent.PermitAnswered -> permitAnswered(transition, event.message)

            is IngressEvent.AnswerBegun -> transition.updateRunning(event.attempt) { request, running ->
                request.copy(answerBegun = true, phase = running.progressedAt(now))
            }

            is IngressEvent.Progressed -> transition.updateRunning(event.attempt) { request, running ->
                request.copy(delivered = event.delivered, phase = running.progressedAt(now))
            }

            is IngressEvent.AttemptCompleted -> transition.running(event.attempt)?.let { (request, _) ->
                transition.end(request, Outcome.COMPLETED, reason = null)
            }

            is IngressEvent.AttemptFailed -> attemptFailed(transition, event)

            is IngressEvent.ProbeAnswered -> probeAnswered(transition, event)

            is IngressEvent.CallerGone -> callerGone(transition, event.request)

            is IngressEvent.RoutersChanged -> routersChanged(transition, event.view)

            is IngressEvent.FleetChanged -> transition.fleetChanged(event.fleet)

            IngressEvent.Tick -> tick(transition)
        }
        return transition.step()
    }

    private fun arrived(transition: IngressTransition, head: RequestHead) {
        val request = OpenRequest(head = head, arrivedAt = transition.now, phase = Claiming)
        transition.earnRetries()
        transition.put(request)
        val fleet = transition.state.fleet
        val refusal = when {
            fleet == null -> RefusalReason.NO_CONFIGURATION
            head.service !in fleet.services -> RefusalReason.UNKNOWN_SERVICE
            head.priority !in fleet.preset.admittedPriorities -> RefusalReason.PRIORITY_NOT_ADMITTED
            else -> null
        }
        when {
            refusal != null -> transition.end(request, Outcome.NOT_RUN, refusal)
            head.idempotency is Idempotency.Keyed -> transition.emit(IngressEffect.Claim(head))
            else -> transition.startRound(request)
        }
    }

    private fun claimAnswered(transition: IngressTransition, event: IngressEvent.ClaimAnswered) {
        val request = transition.state.requests[event.request]?.takeIf { it.phase is Claiming } ?: return
        when (event.verdict) {
            ClaimVerdict.Granted -> transition.startRound(request)
            ClaimVerdict.Unavailable -> transition.end(request, Outcome.NOT_RUN, RefusalReason.LEDGER_UNAVAILABLE)
            is ClaimVerdict.Taken -> transition.end(request, Outcome.ALREADY_RUN, RefusalReason.KEY_CLAIMED)
        }
    }

    private fun permitAnswered(transition: IngressTransition, message: AdmissionMessage) {
        when (message) {
            is AdmissionMessage.PermitGranted -> transition.granted(message)

            is AdmissionMessage.PermitQueued -> transition.seeking(message.attempt)?.let { (request, seeking) ->
                transition.put(request.copy(phase = seeking.copy(queued = true)))
            }

            is AdmissionMessage.PermitSpilled -> transition.seeking(message.attempt)?.let { (request, _) ->
                val hint = message.hint?.takeIf { it in request.candidates }
                transition.seekNext(
                    request.copy(
                        candidates =
                            listOfNotNull(hint) + (request.candidates - setOfNotNull(hint)),
                    ),
                )
            }

            is AdmissionMessage.PermitRefused -> transition.seeking(message.attempt)?.let { (request, _) ->
                transition.seekNext(request)
            }

            is AdmissionMessage.PermitRequest,
            is AdmissionMessage.PermitReleased,
            is AdmissionMessage.PermitsRenewed,
            -> Unit
        }
    }

    private fun attemptFailed(transition: IngressTransition, event: IngressEvent.AttemptFailed) {
        val (request, running) = transition.running(event.attempt) ?: return
        transition.release(running)
        val lostConnection = event.failure is AttemptFailure.ConnectionLost
        val failed = request.copy(
            delivered = event.delivered,
            failedTargets = request.failedTargets + running.target,
            started = if (event.failure.provesNotRun) request.started - 1 else request.started,
            crashes = if (lostConnection) request.crashes + 1 else request.crashes,
        )
        RetryPolicy(settings).next(failed, event.failure, transition)
    }

    private fun probeAnswered(transition: IngressTransition, event: IngressEvent.ProbeAnswered) {
        val (request, running) = transition.running(event.attempt) ?: return
        if (running.probe != ProbeState.SENT) return
        if (event.alive) {
            transition.put(request.copy(phase = running.copy(probe = ProbeState.ALIVE)))
        } else {
            transition.failSilent(request, running)
        }
    }

    private fun callerGone(transition: IngressTransition, id: RequestId) {
        val request = transition.state.requests[id] ?: return
        transition.withdraw(request)
        val outcome = if (request.started > 0) Outcome.MAY_HAVE_RUN else Outcome.NOT_RUN
        transition.end(request, outcome, RefusalReason.CALLER_GONE)
    }

    private fun routersChanged(transition: IngressTransition, view: RouterView) {
        transition.routersChanged(view)
        transition.state.requests.values.forEach { request ->
            val seeking = request.phase as? Seeking
            if (seeking != null && seeking.owner != transition.ownerOf(seeking.target)) {
                transition.seek(request, seeking.target)
            }
        }
        transition.renewPermits()
    }

    private fun tick(transition: IngressTransition) {
        transition.renewPermitsWhenDue()
        transition.state.requests.values.forEach { request ->
            when (val phase = request.phase) {
                Claiming -> refuseWhenLate(transition, request, RefusalReason.LEDGER_UNAVAILABLE)

                is BackingOff -> if (!refuseWhenLate(transition, request, RefusalReason.LATE) &&
                    transition.now >= phase.until
                ) {
                    transition.startRound(request)
                }

                is Seeking -> tickSeeking(transition, request, phase)

                is Running -> tickRunning(transition, request, phase)
            }
        }
    }

    private fun tickSeeking(transition: IngressTransition, request: OpenRequest, seeking: Seeking) {
        if (refuseWhenLate(transition, request, RefusalReason.LATE)) return
        if (seeking.queued || transition.now < seeking.answerDueAt) return
        transition.withdraw(request)
        transition.startOnLocalBudget(request, seeking)
    }

    private fun tickRunning(transition: IngressTransition, request: OpenRequest, running: Running) {
        val silence = transition.now - running.lastProgressAt
        when (running.probe) {
            ProbeState.NOT_SENT -> if (silence >= settings.progressTimeout) {
                transition.put(request.copy(phase = running.copy(probe = ProbeState.SENT)))
                transition.emit(IngressEffect.ProbeTarget(running.attempt, running.target))
            }

            ProbeState.SENT -> Unit

            ProbeState.ALIVE -> if (isConnectionDead(request, silence, transition.now)) {
                transition.failSilent(request, running)
            }
        }
    }

    /** A target that answers probes may be slow; only a silence that no slow target explains counts as a failure. */
    private fun isConnectionDead(request: OpenRequest, silence: Duration, now: Timestamp): Boolean = when {
        !request.mayRepeat -> silence >= settings.silenceLimit
        request.answerBegun -> silence >= settings.progressTimeout * 2
        else -> now >= request.deadline + settings.progressTimeout
    }

    private fun refuseWhenLate(transition: IngressTransition, request: OpenRequest, reason: RefusalReason): Boolean {
        val allowance = if (request.answerBegun) settings.resumeAllowance else Duration.ZERO
        if (transition.now < request.deadline + allowance) return false
        transition.withdraw(request)
        val outcome = if (request.started > 0) Outcome.MAY_HAVE_RUN else Outcome.NOT_RUN
        transition.end(request, outcome, reason)
        return true
    }

    private fun Running.progressedAt(now: Timestamp): Running = copy(lastProgressAt = now, probe = ProbeState.NOT_SENT)
}
