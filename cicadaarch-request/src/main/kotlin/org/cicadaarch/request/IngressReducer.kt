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
import org.cicadaarch.request.IngressPhase.AwaitingClaim
import org.cicadaarch.request.IngressPhase.AwaitingPermit
import org.cicadaarch.request.IngressPhase.BackingOff
import org.cicadaarch.request.IngressPhase.Running

/**
 * Processes the requests that one router, their ingress, received from clients: claims their idempotency keys, acquires
 * permits, runs attempts on targets and retries them.
 *
 * A request ends exactly once, with one [IngressEffect.EndRequest]. A request that is not idempotent is sent to a
 * second target only after proof that the first did not start it.
 */
class IngressReducer(private val settings: IngressSettings = IngressSettings()) {
    /** Handles [event] at [now]; returns the new state and the effects. */
    fun reduce(state: IngressState, event: IngressEvent, now: Timestamp): Step<IngressState, IngressEffect> =
        EventReduction(IngressTransition(state, settings, now)).reduce(event)

    private inner class EventReduction(private val transition: IngressTransition) {
        private val now = transition.now
        private val permits = PermitAcquisition(settings, transition)

        fun reduce(event: IngressEvent): Step<IngressState, IngressEffect> {
            when (event) {
                is IngressEvent.RequestReceived -> onRequestReceived(event.head)
                is IngressEvent.ClaimAnswered -> onClaimAnswered(event)
                is IngressEvent.PermitAnswered -> onPermitAnswered(event.message)
                is IngressEvent.ResponseStarted -> onResponseStarted(event.attempt)
                is IngressEvent.Progressed -> onProgressed(event)
                is IngressEvent.AttemptCompleted -> onAttemptCompleted(event.attempt)
                is IngressEvent.AttemptFailed -> onAttemptFailed(event)
                is IngressEvent.ProbeAnswered -> onProbeAnswered(event)
                is IngressEvent.CrashReported -> onCrashReported(event.fingerprint, event.attempt)
                is IngressEvent.RouterUnreachable -> permits.onOwnerUnreachable(event.router)
                is IngressEvent.ClientDisconnected -> onClientDisconnected(event.request)
                is IngressEvent.RoutersChanged -> onRoutersChanged(event.view)
                is IngressEvent.FleetChanged -> transition.fleetChanged(event.fleet)
                IngressEvent.Tick -> onTick()
            }
            return transition.step()
        }

        private fun onRequestReceived(head: RequestHead) {
            val request = IngressRequest(head = head, arrivedAt = now, phase = AwaitingClaim)
            transition.addToRetryBudget()
            transition.put(request)
            val refusal = refusalOnArrival(head)
            when {
                refusal != null -> transition.end(request, Outcome.NOT_RUN, refusal)
                head.idempotency is Idempotency.Keyed -> transition.emit(IngressEffect.Claim(head))
                else -> permits.startRound(request)
            }
        }

        private fun refusalOnArrival(head: RequestHead): RefusalReason? {
            val fleet = transition.state.fleet
            return when {
                fleet == null -> RefusalReason.NO_CONFIGURATION
                head.service !in fleet.services -> RefusalReason.UNKNOWN_SERVICE
                head.priority !in fleet.preset.admittedPriorities -> RefusalReason.PRIORITY_NOT_ADMITTED
                hasCrashedTooOften(head.fingerprint) -> RefusalReason.CRASHES_TARGETS
                else -> null
            }
        }

        private fun hasCrashedTooOften(fingerprint: Fingerprint): Boolean =
            transition.state.crashHistory.crashCount(fingerprint) >= settings.maxCrashes

        private fun onClaimAnswered(event: IngressEvent.ClaimAnswered) {
            val request = transition.state.requests[event.request]?.takeIf { it.phase is AwaitingClaim } ?: return
            when (event.result) {
                ClaimResult.Granted -> permits.startRound(request)
                ClaimResult.Unavailable -> transition.end(request, Outcome.NOT_RUN, RefusalReason.LEDGER_UNAVAILABLE)
                is ClaimResult.Taken -> transition.end(request, Outcome.ALREADY_RUN, RefusalReason.KEY_CLAIMED)
            }
        }

        private fun onPermitAnswered(message: AdmissionMessage) {
            when (message) {
                is AdmissionMessage.PermitGranted -> {
                    val (request, awaiting) = transition.awaitingPermit(message.attempt)
                        ?: return transition.releaseLateGrant(message)
                    permits.onGranted(request, awaiting, message)
                }

                is AdmissionMessage.PermitQueued ->
                    transition.awaitingPermit(message.attempt)?.let { (request, awaiting) ->
                        permits.onQueued(request, awaiting, message)
                    }

                is AdmissionMessage.PermitRedirected ->
                    transition.awaitingPermit(message.attempt)?.let { (request, _) ->
                        permits.onRedirected(request, message)
                    }

                is AdmissionMessage.PermitRefused ->
                    transition.awaitingPermit(message.attempt)?.let { (request, awaiting) ->
                        permits.onRefused(request, awaiting, message.reason)
                    }

                else -> Unit
            }
        }

        private fun onResponseStarted(attempt: AttemptId) = transition.updateRunning(attempt) { request, running ->
            val started = running.withProgressAt(now).copy(firstByteAt = running.firstByteAt ?: now)
            request.copy(responseStarted = true, phase = started)
        }

        private fun onProgressed(event: IngressEvent.Progressed) =
            transition.updateRunning(event.attempt) { request, running ->
                request.copy(delivered = event.delivered, phase = running.withProgressAt(now))
            }

        private fun onAttemptCompleted(attempt: AttemptId) {
            val (request, running) = transition.running(attempt) ?: return
            transition.release(running)
            transition.updateCrashHistory { it.withoutFingerprint(request.head.fingerprint) }
            transition.end(request, Outcome.COMPLETED, reason = null)
        }

        private fun onAttemptFailed(event: IngressEvent.AttemptFailed) {
            val (request, running) = transition.running(event.attempt) ?: return
            if (event.failure is AttemptFailure.ConnectionLost) {
                onCrashReported(request.head.fingerprint, event.attempt)
                transition.emit(IngressEffect.ReportCrash(request.head.fingerprint, event.attempt))
            }
            retryOrEnd(request.copy(delivered = event.delivered), running, event.failure)
        }

        private fun onCrashReported(fingerprint: Fingerprint, attempt: AttemptId) =
            transition.updateCrashHistory { it.withCrash(fingerprint, attempt, now) }

        private fun retryOrEnd(request: IngressRequest, running: Running, failure: AttemptFailure) {
            transition.release(running)
            val failed = request.copy(
                failedTargets = request.failedTargets + running.target,
                possibleRuns = if (failure.provesNotRun) request.possibleRuns - 1 else request.possibleRuns,
            )
            val reason = RetryEligibility(settings).reasonNotToRetry(failed, failure, transition)
            if (reason == null) {
                if (!failure.provesNotRun) transition.takeFromRetryBudget()
                val hasFailedBefore = running.target in request.failedTargets
                if (hasFailedBefore) permits.startRoundLater(failed) else permits.startRound(failed)
            } else {
                transition.endWithoutResponse(failed, reason)
            }
        }

        private fun onProbeAnswered(event: IngressEvent.ProbeAnswered) {
            val (request, running) = transition.running(event.attempt) ?: return
            if (running.probe != ProbeState.SENT) return
            if (event.alive) {
                transition.put(request.copy(phase = running.copy(probe = ProbeState.ALIVE)))
            } else {
                cancelUnresponsive(request, running)
            }
        }

        private fun cancelUnresponsive(request: IngressRequest, running: Running) {
            transition.emit(IngressEffect.CancelAttempt(running.attempt))
            retryOrEnd(request, running, AttemptFailure.Unresponsive)
        }

        private fun onClientDisconnected(id: RequestId) {
            val request = transition.state.requests[id] ?: return
            transition.abandonAttempt(request)
            (request.phase as? Running)?.let(transition::release)
            transition.endWithoutResponse(request, RefusalReason.CLIENT_DISCONNECTED)
        }

        private fun onRoutersChanged(view: RouterView) {
            transition.routersChanged(view)
            transition.state.requests.values.forEach { request ->
                val awaiting = request.phase as? AwaitingPermit
                if (awaiting != null && awaiting.owner != transition.ownerOf(awaiting.target)) {
                    permits.requestPermit(request, awaiting.target)
                }
            }
            transition.renewPermits()
        }

        private fun onTick() {
            transition.renewPermitsIfDue()
            transition.updateCrashHistory { it.withoutExpired(now) }
            transition.state.requests.values.forEach { request ->
                when (val phase = request.phase) {
                    AwaitingClaim -> endIfExpired(request, RefusalReason.LEDGER_UNAVAILABLE)
                    is BackingOff -> tickBackingOff(request, phase)
                    is AwaitingPermit -> tickAwaitingPermit(request, phase)
                    is Running -> tickRunning(request, phase)
                }
            }
        }

        private fun tickBackingOff(request: IngressRequest, phase: BackingOff) {
            if (endIfExpired(request, RefusalReason.LATE) || now < phase.until) return
            if (request.candidates.isEmpty()) permits.startRound(request) else permits.requestNext(request)
        }

        private fun tickAwaitingPermit(request: IngressRequest, awaiting: AwaitingPermit) {
            if (endIfExpired(request, RefusalReason.LATE)) return
            if (now >= awaiting.replyDueAt) permits.onReplyTimeout(request, awaiting)
        }

        private fun tickRunning(request: IngressRequest, running: Running) {
            val idleTime = now - running.lastProgressAt
            when (running.probe) {
                ProbeState.NOT_SENT -> if (idleTime >= settings.progressTimeout) {
                    transition.put(request.copy(phase = running.copy(probe = ProbeState.SENT)))
                    transition.emit(IngressEffect.ProbeTarget(running.attempt, running.target))
                }

                ProbeState.SENT -> Unit

                ProbeState.ALIVE -> if (isUnresponsive(request, idleTime)) cancelUnresponsive(request, running)
            }
        }

        /**
         * Whether a target that responds to probes has been idle for too long. Such a target may only be slow, so this
         * takes longer than a slow target should need.
         */
        private fun isUnresponsive(request: IngressRequest, idleTime: Duration): Boolean = when {
            !request.isSafeToRetry -> idleTime >= settings.nonIdempotentIdleTimeout

            request.responseStarted -> idleTime >= settings.progressTimeout * 2

            else -> {
                val tokensBeforeFirstByte = if (request.head.streaming) 0 else request.head.outputTokens
                now >= request.deadline + settings.progressTimeout + settings.maxTokenInterval * tokensBeforeFirstByte
            }
        }

        /** Ends a request that is past its deadline, which is extended once the response has started. */
        private fun endIfExpired(request: IngressRequest, reason: RefusalReason): Boolean {
            val extension = if (request.responseStarted) settings.resumeTimeout else Duration.ZERO
            if (now < request.deadline + extension) return false
            transition.abandonAttempt(request)
            transition.endWithoutResponse(request, reason)
            return true
        }

        private fun Running.withProgressAt(now: Timestamp): Running =
            copy(lastProgressAt = now, probe = ProbeState.NOT_SENT)
    }
}
