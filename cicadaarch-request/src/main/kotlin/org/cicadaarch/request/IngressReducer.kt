package org.cicadaarch.request

import kotlin.time.Duration
import org.cicadaarch.admission.AdmissionMessage
import org.cicadaarch.model.AttemptId
import org.cicadaarch.model.Fingerprint
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
    fun reduce(state: IngressState, event: IngressEvent, now: Timestamp): Step<IngressState, IngressEffect> =
        EventReduction(IngressTransition(state, settings, now)).reduce(event)

    private inner class EventReduction(private val transition: IngressTransition) {
        private val now = transition.now
        private val search = PermitSearch(settings, transition)

        fun reduce(event: IngressEvent): Step<IngressState, IngressEffect> {
            when (event) {
                is IngressEvent.Arrived -> arrived(event.head)
                is IngressEvent.ClaimAnswered -> claimAnswered(event)
                is IngressEvent.PermitAnswered -> permitAnswered(event.message)
                is IngressEvent.ResponseStarted -> answerBegun(event.attempt)
                is IngressEvent.Progressed -> progressed(event)
                is IngressEvent.AttemptCompleted -> attemptCompleted(event.attempt)
                is IngressEvent.AttemptFailed -> attemptFailed(event)
                is IngressEvent.ProbeAnswered -> probeAnswered(event)
                is IngressEvent.CrashReported -> crashReported(event.fingerprint, event.attempt)
                is IngressEvent.RouterUnreachable -> search.ownerLost(event.router)
                is IngressEvent.CallerGone -> callerGone(event.request)
                is IngressEvent.RoutersChanged -> routersChanged(event.view)
                is IngressEvent.FleetChanged -> transition.fleetChanged(event.fleet)
                IngressEvent.Tick -> tick()
            }
            return transition.step()
        }

        private fun arrived(head: RequestHead) {
            val request = OpenRequest(head = head, arrivedAt = now, phase = Claiming)
            transition.earnRetries()
            transition.put(request)
            val refusal = refusalAtArrival(head)
            when {
                refusal != null -> transition.end(request, Outcome.NOT_RUN, refusal)
                head.idempotency is Idempotency.Keyed -> transition.emit(IngressEffect.Claim(head))
                else -> search.startRound(request)
            }
        }

        private fun refusalAtArrival(head: RequestHead): RefusalReason? {
            val fleet = transition.state.fleet
            return when {
                fleet == null -> RefusalReason.NO_CONFIGURATION
                head.service !in fleet.services -> RefusalReason.UNKNOWN_SERVICE
                head.priority !in fleet.preset.admittedPriorities -> RefusalReason.PRIORITY_NOT_ADMITTED
                isConvicted(head.fingerprint) -> RefusalReason.CRASHES_TARGETS
                else -> null
            }
        }

        private fun isConvicted(fingerprint: Fingerprint): Boolean =
            transition.state.suspects.crashes(fingerprint) >= settings.crashLimit

        private fun claimAnswered(event: IngressEvent.ClaimAnswered) {
            val request = transition.state.requests[event.request]?.takeIf { it.phase is Claiming } ?: return
            when (event.result) {
                ClaimResult.Granted -> search.startRound(request)
                ClaimResult.Unavailable -> transition.end(request, Outcome.NOT_RUN, RefusalReason.LEDGER_UNAVAILABLE)
                is ClaimResult.Taken -> transition.end(request, Outcome.ALREADY_RUN, RefusalReason.KEY_CLAIMED)
            }
        }

        private fun permitAnswered(message: AdmissionMessage) {
            when (message) {
                is AdmissionMessage.PermitGranted -> {
                    val (request, seeking) = transition.seeking(message.attempt)
                        ?: return transition.giveBackLateGrant(message)
                    search.granted(request, seeking, message)
                }

                is AdmissionMessage.PermitQueued -> transition.seeking(message.attempt)?.let { (request, seeking) ->
                    search.queued(request, seeking, message)
                }

                is AdmissionMessage.PermitRedirected -> transition.seeking(message.attempt)?.let { (request, _) ->
                    search.spilled(request, message)
                }

                is AdmissionMessage.PermitRefused -> transition.seeking(message.attempt)?.let { (request, seeking) ->
                    search.refused(request, seeking, message.reason)
                }

                else -> Unit
            }
        }

        private fun answerBegun(attempt: AttemptId) = transition.updateRunning(attempt) { request, running ->
            val begun = running.progressedAt(now).copy(firstByteAt = running.firstByteAt ?: now)
            request.copy(answerBegun = true, phase = begun)
        }

        private fun progressed(event: IngressEvent.Progressed) =
            transition.updateRunning(event.attempt) { request, running ->
                request.copy(delivered = event.delivered, phase = running.progressedAt(now))
            }

        private fun attemptCompleted(attempt: AttemptId) {
            val (request, running) = transition.running(attempt) ?: return
            transition.release(running)
            transition.updateSuspects { it.cleared(request.head.fingerprint) }
            transition.end(request, Outcome.COMPLETED, reason = null)
        }

        private fun attemptFailed(event: IngressEvent.AttemptFailed) {
            val (request, running) = transition.running(event.attempt) ?: return
            if (event.failure is AttemptFailure.ConnectionLost) {
                crashReported(request.head.fingerprint, event.attempt)
                transition.emit(IngressEffect.ReportCrash(request.head.fingerprint, event.attempt))
            }
            failed(request.copy(delivered = event.delivered), running, event.failure)
        }

        private fun crashReported(fingerprint: Fingerprint, attempt: AttemptId) =
            transition.updateSuspects { it.observed(fingerprint, attempt, now) }

        private fun failed(request: OpenRequest, running: Running, failure: AttemptFailure) {
            transition.release(running)
            val failed = request.copy(
                failedTargets = request.failedTargets + running.target,
                started = if (failure.provesNotRun) request.started - 1 else request.started,
            )
            val refusal = RetryPolicy(settings).refusal(failed, failure, transition)
            if (refusal == null) {
                if (!failure.provesNotRun) transition.spendRetry()
                search.startRound(failed)
            } else {
                transition.endUnanswered(failed, refusal)
            }
        }

        private fun probeAnswered(event: IngressEvent.ProbeAnswered) {
            val (request, running) = transition.running(event.attempt) ?: return
            if (running.probe != ProbeState.SENT) return
            if (event.alive) {
                transition.put(request.copy(phase = running.copy(probe = ProbeState.ALIVE)))
            } else {
                silent(request, running)
            }
        }

        private fun silent(request: OpenRequest, running: Running) {
            transition.emit(IngressEffect.CancelAttempt(running.attempt))
            failed(request, running, AttemptFailure.Silent)
        }

        private fun callerGone(id: RequestId) {
            val request = transition.state.requests[id] ?: return
            transition.withdraw(request)
            (request.phase as? Running)?.let(transition::release)
            transition.endUnanswered(request, RefusalReason.CALLER_GONE)
        }

        private fun routersChanged(view: RouterView) {
            transition.routersChanged(view)
            transition.state.requests.values.forEach { request ->
                val seeking = request.phase as? Seeking
                if (seeking != null && seeking.owner != transition.ownerOf(seeking.target)) {
                    search.ask(request, seeking.target)
                }
            }
            transition.renewPermits()
        }

        private fun tick() {
            transition.renewPermitsWhenDue()
            transition.updateSuspects { it.expired(now) }
            transition.state.requests.values.forEach { request ->
                when (val phase = request.phase) {
                    Claiming -> refuseWhenLate(request, RefusalReason.LEDGER_UNAVAILABLE)
                    is BackingOff -> tickBackingOff(request, phase)
                    is Seeking -> tickSeeking(request, phase)
                    is Running -> tickRunning(request, phase)
                }
            }
        }

        private fun tickBackingOff(request: OpenRequest, phase: BackingOff) {
            if (refuseWhenLate(request, RefusalReason.LATE) || now < phase.until) return
            if (request.candidates.isEmpty()) search.startRound(request) else search.askNext(request)
        }

        private fun tickSeeking(request: OpenRequest, seeking: Seeking) {
            if (refuseWhenLate(request, RefusalReason.LATE)) return
            if (now >= seeking.answerDueAt) search.overdue(request, seeking)
        }

        private fun tickRunning(request: OpenRequest, running: Running) {
            val silence = now - running.lastProgressAt
            when (running.probe) {
                ProbeState.NOT_SENT -> if (silence >= settings.progressTimeout) {
                    transition.put(request.copy(phase = running.copy(probe = ProbeState.SENT)))
                    transition.emit(IngressEffect.ProbeTarget(running.attempt, running.target))
                }

                ProbeState.SENT -> Unit

                ProbeState.ALIVE -> if (isConnectionDead(request, silence)) silent(request, running)
            }
        }

        /** A target that answers probes may be slow; only a silence that no slow target explains is a failure. */
        private fun isConnectionDead(request: OpenRequest, silence: Duration): Boolean = when {
            !request.mayRepeat -> silence >= settings.silenceLimit

            request.answerBegun -> silence >= settings.progressTimeout * 2

            else -> {
                val wholeAnswer = if (request.head.streaming) 0 else request.head.outputTokens
                now >= request.deadline + settings.progressTimeout + settings.slowestTokenInterval * wholeAnswer
            }
        }

        private fun refuseWhenLate(request: OpenRequest, reason: RefusalReason): Boolean {
            val allowance = if (request.answerBegun) settings.resumeAllowance else IngressTransition.NO_ALLOWANCE
            if (now < request.deadline + allowance) return false
            transition.withdraw(request)
            transition.endUnanswered(request, reason)
            return true
        }

        private fun Running.progressedAt(now: Timestamp): Running =
            copy(lastProgressAt = now, probe = ProbeState.NOT_SENT)
    }
}
