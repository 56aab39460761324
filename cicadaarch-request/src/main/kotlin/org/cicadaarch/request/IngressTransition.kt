package org.cicadaarch.request

import org.cicadaarch.admission.AdmissionMessage
import org.cicadaarch.admission.HeldPermit
import org.cicadaarch.admission.TargetOwnership
import org.cicadaarch.model.AttemptId
import org.cicadaarch.model.Idempotency
import org.cicadaarch.model.Outcome
import org.cicadaarch.model.RouterId
import org.cicadaarch.model.RouterView
import org.cicadaarch.model.Step
import org.cicadaarch.model.TargetId
import org.cicadaarch.model.Timestamp
import org.cicadaarch.model.fleet.FleetDocument
import org.cicadaarch.request.RequestPhase.BackingOff
import org.cicadaarch.request.RequestPhase.Running
import org.cicadaarch.request.RequestPhase.Seeking

/**
 * Collects the next state and the effects while one event at [now] is reduced.
 */
internal class IngressTransition(state: IngressState, private val settings: IngressSettings, val now: Timestamp) {
    var state: IngressState = state
        private set
    private val effects = mutableListOf<IngressEffect>()

    fun step(): Step<IngressState, IngressEffect> = Step(state, effects)

    fun emit(effect: IngressEffect) {
        effects += effect
    }

    fun put(request: OpenRequest) {
        state = state.copy(requests = state.requests.put(request.head.id, request))
    }

    fun fleetChanged(fleet: FleetDocument) {
        state = state.copy(fleet = fleet)
    }

    fun routersChanged(view: RouterView) {
        state = state.copy(view = view)
    }

    fun earnRetries() {
        val budget = (state.retryBudget + settings.retryRatio).coerceAtMost(settings.retryReserve)
        state = state.copy(retryBudget = budget)
    }

    fun spendRetry() {
        state = state.copy(retryBudget = state.retryBudget - 1.0)
    }

    fun ownerOf(target: TargetId): RouterId? = TargetOwnership.ownerOf(target, state.view)

    fun running(attempt: AttemptId): Pair<OpenRequest, Running>? {
        val request = state.requests[attempt.request] ?: return null
        val running = request.phase as? Running ?: return null
        return (request to running).takeIf { running.attempt == attempt }
    }

    fun seeking(attempt: AttemptId): Pair<OpenRequest, Seeking>? {
        val request = state.requests[attempt.request] ?: return null
        val seeking = request.phase as? Seeking ?: return null
        return (request to seeking).takeIf { seeking.attempt == attempt }
    }

    fun updateRunning(attempt: AttemptId, change: (OpenRequest, Running) -> OpenRequest) {
        running(attempt)?.let { (request, running) -> put(change(request, running)) }
    }

    /** Asks all targets from the best on; those that failed this request come last. */
    fun startRound(request: OpenRequest) {
        val order = state.fleet?.let { TargetOrder.of(request.head, it) }.orEmpty()
        val allowed = if (request.answerBegun) order.filter(::resumes) else order
        val (failed, fresh) = allowed.partition { it in request.failedTargets }
        seekNext(request.copy(candidates = fresh + failed))
    }

    /** Asks the next candidate, or pauses before the next round. */
    fun seekNext(request: OpenRequest) {
        val target = request.candidates.firstOrNull()
        if (target == null) {
            put(request.copy(phase = BackingOff(now + settings.roundPause)))
        } else {
            seek(request.copy(candidates = request.candidates.drop(1)), target)
        }
    }

    /** Asks the owner of [target] for a permit. */
    fun seek(request: OpenRequest, target: TargetId) {
        val attempt = AttemptId(request.head.id, request.attempts + 1)
        val owner = ownerOf(target) ?: state.view.self
        val demand = request.demand(target, home = homeOf(request), now = now)
        put(
            request.copy(
                attempts = attempt.number,
                phase = Seeking(attempt, target, owner, answerDueAt = now + settings.permitTimeout),
            ),
        )
        emit(IngressEffect.SendToOwner(owner, AdmissionMessage.PermitRequest(attempt, target, demand)))
    }

    fun granted(message: AdmissionMessage.PermitGranted) {
        val (request, seeking) = seeking(message.attempt) ?: run {
            releaseLateGrant(message)
            return
        }
        start(request, message.attempt, message.target, seeking.owner)
    }

    /** Runs the request without a permit if the local budget allows it, else asks the next candidate. */
    fun startOnLocalBudget(request: OpenRequest, seeking: Seeking) {
        if (!LocalBudget.allows(state, seeking.target)) {
            seekNext(request)
            return
        }
        countLocal(seeking.target, change = 1)
        val attempt = AttemptId(request.head.id, request.attempts + 1)
        start(request.copy(attempts = attempt.number), attempt, seeking.target, owner = null)
    }

    /** Tells the owner that the request does not want its permit or its place in the queue; cancels what runs. */
    fun withdraw(request: OpenRequest) {
        when (val phase = request.phase) {
            is Seeking -> emit(
                IngressEffect.SendToOwner(
                    to = phase.owner,
                    message = AdmissionMessage.PermitReleased(phase.attempt, phase.target),
                ),
            )

            is Running -> emit(IngressEffect.CancelAttempt(phase.attempt))

            else -> Unit
        }
    }

    fun release(running: Running) {
        if (running.owner == null) countLocal(running.target, change = -1)
        val owner = ownerOf(running.target) ?: running.owner ?: return
        val message = AdmissionMessage.PermitReleased(running.attempt, running.target)
        emit(IngressEffect.SendToOwner(owner, message))
        if (running.owner != null && running.owner != owner) emit(IngressEffect.SendToOwner(running.owner, message))
    }

    fun failSilent(request: OpenRequest, running: Running) {
        emit(IngressEffect.CancelAttempt(running.attempt))
        release(running)
        val failed = request.copy(failedTargets = request.failedTargets + running.target)
        RetryPolicy(settings).next(failed, AttemptFailure.Silent, this)
    }

    /** Ends the request: frees its permit, settles its claim and tells the caller. */
    fun end(request: OpenRequest, outcome: Outcome, reason: RefusalReason?) {
        val current = state.requests[request.head.id] ?: return
        val running = request.phase as? Running
        if (running != null && current.phase is Running && !isReleased(running)) release(running)
        state = state.copy(requests = state.requests.remove(request.head.id))
        val ownsClaim = request.head.idempotency is Idempotency.Keyed && outcome != Outcome.ALREADY_RUN
        if (ownsClaim) emit(IngressEffect.FinishClaim(request.head, outcome))
        emit(IngressEffect.EndRequest(request.head.id, outcome, reason))
    }

    fun canResume(request: OpenRequest): Boolean =
        request.head.streaming && state.fleet?.let { TargetOrder.of(request.head, it) }.orEmpty().any(::resumes)

    fun renewPermitsWhenDue() {
        if (now - state.renewedAt >= settings.renewalInterval) renewPermits()
    }

    /** Tells each target's present owner of all requests that run there. */
    fun renewPermits() {
        state = state.copy(renewedAt = now)
        state.requests.values
            .mapNotNull { request -> (request.phase as? Running)?.let { request to it } }
            .groupBy { (_, running) -> running.target }
            .forEach { (target, held) -> renew(target, held) }
    }

    private fun renew(target: TargetId, held: List<Pair<OpenRequest, Running>>) {
        val owner = ownerOf(target) ?: return
        val permits = held.map { (request, running) ->
            HeldPermit(running.attempt, request.demand(target, home = homeOf(request), now = now))
        }
        emit(IngressEffect.SendToOwner(owner, AdmissionMessage.PermitsRenewed(target, permits)))
    }

    private fun start(request: OpenRequest, attempt: AttemptId, target: TargetId, owner: RouterId?) {
        put(request.copy(phase = Running(attempt, target, owner, lastProgressAt = now), started = request.started + 1))
        emit(IngressEffect.StartAttempt(attempt, target, resumeAfter = request.delivered))
    }

    private fun releaseLateGrant(message: AdmissionMessage.PermitGranted) {
        if (running(message.attempt) != null) return
        val owner = ownerOf(message.target) ?: return
        val release = AdmissionMessage.PermitReleased(message.attempt, message.target)
        emit(IngressEffect.SendToOwner(owner, release))
    }

    private fun isReleased(running: Running): Boolean = effects.any {
        it is IngressEffect.SendToOwner &&
            it.message == AdmissionMessage.PermitReleased(running.attempt, running.target)
    }

    private fun countLocal(target: TargetId, change: Int) {
        val count = (state.localGrants[target] ?: 0) + change
        val grants = if (count > 0) state.localGrants.put(target, count) else state.localGrants.remove(target)
        state = state.copy(localGrants = grants)
    }

    private fun homeOf(request: OpenRequest): TargetId? =
        state.fleet?.let { TargetOrder.of(request.head, it).firstOrNull() }

    private fun resumes(target: TargetId): Boolean = state.fleet?.targets?.get(target)?.resumesStreams == true
}
