package org.cicadaarch.request

import kotlin.time.Duration
import org.cicadaarch.admission.AdmissionMessage
import org.cicadaarch.admission.HeldPermit
import org.cicadaarch.admission.PermitDemand
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

    fun sendToOwner(target: TargetId, message: AdmissionMessage) {
        ownerOf(target)?.let { emit(IngressEffect.SendToOwner(it, message)) }
    }

    fun put(request: OpenRequest) {
        state = state.copy(requests = state.requests.put(request.head.id, request))
    }

    fun fleetChanged(fleet: FleetDocument) {
        state = state.copy(fleet = fleet)
    }

    fun routersChanged(view: RouterView) {
        state = state.copy(view = view, unreachable = state.unreachable.filterKeys { it in view.routers })
    }

    fun updateSuspects(change: (SuspectTable) -> SuspectTable) {
        state = state.copy(suspects = change(state.suspects))
    }

    fun earnRetries() {
        val budget = (state.retryBudget + settings.retryRatio).coerceAtMost(settings.retryReserve)
        state = state.copy(retryBudget = budget)
    }

    fun spendRetry() {
        state = state.copy(retryBudget = state.retryBudget - 1.0)
    }

    fun ownerOf(target: TargetId): RouterId? = TargetOwnership.ownerOf(target, state.view)

    fun orderOf(request: OpenRequest): List<TargetId> = state.fleet?.let {
        TargetOrder.of(request.head, it, state.view)
    }.orEmpty()

    fun homeOf(request: OpenRequest): TargetId? = orderOf(request).firstOrNull()

    fun resumesStreams(target: TargetId): Boolean = state.fleet?.targets?.get(target)?.resumesStreams == true

    fun canResume(request: OpenRequest): Boolean = request.head.streaming && orderOf(request).any(::resumesStreams)

    fun demandOf(request: OpenRequest, target: TargetId): PermitDemand =
        request.demand(target, home = homeOf(request), now = now)

    /** Whether [owner] did not answer lately; after a pause one request tries it again. */
    fun isUnreachable(owner: RouterId): Boolean =
        state.unreachable[owner]?.let { now - it < settings.unreachablePause } ?: false

    fun markUnreachable(owner: RouterId) {
        if (owner != state.view.self) state = state.copy(unreachable = state.unreachable + (owner to now))
    }

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

    fun start(request: OpenRequest, attempt: AttemptId, target: TargetId, owner: RouterId?) {
        val running = Running(attempt, target, owner, startedAt = now, lastProgressAt = now)
        put(request.copy(phase = running, started = request.started + 1))
        emit(IngressEffect.StartAttempt(attempt, target, resumeAfter = request.delivered))
    }

    fun startWithoutPermit(request: OpenRequest, target: TargetId) {
        countLocal(target, change = 1)
        val attempt = AttemptId(request.head.id, request.attempts + 1)
        start(request.copy(attempts = attempt.number), attempt, target, owner = null)
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
        val timeToFirstToken = running.firstByteAt?.let { it - running.startedAt }
        val message = AdmissionMessage.PermitReleased(running.attempt, running.target, timeToFirstToken)
        listOfNotNull(ownerOf(running.target), running.owner).distinct().forEach { owner ->
            emit(IngressEffect.SendToOwner(owner, message))
        }
    }

    /** Ends a request that got no answer: as not-run only if no target can have started it. */
    fun endUnanswered(request: OpenRequest, reason: RefusalReason) =
        end(request, if (request.started > 0) Outcome.MAY_HAVE_RUN else Outcome.NOT_RUN, reason)

    /** Ends the request: settles its claim and tells the caller. Its permit must have been released. */
    fun end(request: OpenRequest, outcome: Outcome, reason: RefusalReason?) {
        if (request.head.id !in state.requests) return
        state = state.copy(requests = state.requests.remove(request.head.id))
        val ownsClaim = request.head.idempotency is Idempotency.Keyed && outcome != Outcome.ALREADY_RUN
        if (ownsClaim) emit(IngressEffect.FinishClaim(request.head, outcome))
        emit(IngressEffect.EndRequest(request.head.id, outcome, reason))
    }

    fun renewPermitsWhenDue() {
        if (now - state.renewedAt >= settings.renewalInterval) renewPermits()
    }

    /** Tells each target's present owner of all requests that run there. */
    fun renewPermits() {
        state = state.copy(renewedAt = now)
        state.requests.values
            .mapNotNull { request -> (request.phase as? Running)?.let { request to it } }
            .groupBy { (_, running) -> running.target }
            .forEach { (target, held) -> sendToOwner(target, renewal(target, held)) }
    }

    fun giveBackLateGrant(message: AdmissionMessage.PermitGranted) {
        if (running(message.attempt) != null) return
        sendToOwner(message.target, AdmissionMessage.PermitReleased(message.attempt, message.target))
    }

    private fun renewal(target: TargetId, held: List<Pair<OpenRequest, Running>>): AdmissionMessage =
        AdmissionMessage.PermitsRenewed(
            target = target,
            permits = held.map { (request, running) -> HeldPermit(running.attempt, demandOf(request, target)) },
        )

    private fun countLocal(target: TargetId, change: Int) {
        val count = (state.localGrants[target] ?: 0) + change
        val grants = if (count > 0) state.localGrants.put(target, count) else state.localGrants.remove(target)
        state = state.copy(localGrants = grants)
    }

    companion object {
        /** No more time than the deadline itself. */
        val NO_ALLOWANCE: Duration = Duration.ZERO
    }
}
