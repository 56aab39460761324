package org.cicadaarch.request

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
import org.cicadaarch.request.IngressPhase.AwaitingPermit
import org.cicadaarch.request.IngressPhase.Running

/**
 * Accumulates the next state and the effects while one event is handled at [now].
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

    fun put(request: IngressRequest) {
        state = state.copy(requests = state.requests.put(request.head.id, request))
    }

    fun fleetChanged(fleet: FleetDocument) {
        state = state.copy(fleet = fleet)
    }

    fun routersChanged(view: RouterView) {
        state = state.copy(view = view, unreachableSince = state.unreachableSince.filterKeys { it in view.routers })
    }

    fun updateCrashHistory(change: (CrashHistory) -> CrashHistory) {
        state = state.copy(crashHistory = change(state.crashHistory))
    }

    fun addToRetryBudget() {
        val budget = (state.retryBudget + settings.retryBudgetRatio).coerceAtMost(settings.maxRetryBudget)
        state = state.copy(retryBudget = budget)
    }

    fun takeFromRetryBudget() {
        state = state.copy(retryBudget = state.retryBudget - 1.0)
    }

    fun ownerOf(target: TargetId): RouterId? = TargetOwnership.ownerOf(target, state.view)

    fun targetsInOrder(request: IngressRequest): List<TargetId> = state.fleet?.let {
        TargetOrder.of(request.head, it, state.view)
    }.orEmpty()

    /** The most preferred target of [request]. */
    fun homeTarget(request: IngressRequest): TargetId? = targetsInOrder(request).firstOrNull()

    fun resumesStreams(target: TargetId): Boolean = state.fleet?.targets?.get(target)?.resumesStreams == true

    fun canResume(request: IngressRequest): Boolean =
        request.head.streaming && targetsInOrder(request).any(::resumesStreams)

    fun permitDemand(request: IngressRequest, target: TargetId): PermitDemand =
        request.permitDemand(target, home = homeTarget(request), now = now)

    /** Whether [owner] was unreachable within the last [IngressSettings.unreachableRetryDelay]. */
    fun isUnreachable(owner: RouterId): Boolean =
        state.unreachableSince[owner]?.let { now - it < settings.unreachableRetryDelay } ?: false

    fun markUnreachable(owner: RouterId) {
        if (owner != state.view.self) state = state.copy(unreachableSince = state.unreachableSince + (owner to now))
    }

    fun running(attempt: AttemptId): Pair<IngressRequest, Running>? {
        val request = state.requests[attempt.request] ?: return null
        val running = request.phase as? Running ?: return null
        return (request to running).takeIf { running.attempt == attempt }
    }

    fun awaitingPermit(attempt: AttemptId): Pair<IngressRequest, AwaitingPermit>? {
        val request = state.requests[attempt.request] ?: return null
        val awaiting = request.phase as? AwaitingPermit ?: return null
        return (request to awaiting).takeIf { awaiting.attempt == attempt }
    }

    fun updateRunning(attempt: AttemptId, change: (IngressRequest, Running) -> IngressRequest) {
        running(attempt)?.let { (request, running) -> put(change(request, running)) }
    }

    fun start(request: IngressRequest, attempt: AttemptId, target: TargetId, owner: RouterId?) {
        val running = Running(attempt, target, owner, startedAt = now, lastProgressAt = now)
        put(request.copy(phase = running, possibleRuns = request.possibleRuns + 1))
        emit(IngressEffect.StartAttempt(attempt, target, resumeAfter = request.delivered))
    }

    fun startWithoutPermit(request: IngressRequest, target: TargetId) {
        adjustInFlightWithoutPermit(target, change = 1)
        val attempt = AttemptId(request.head.id, request.attempts + 1)
        start(request.copy(attempts = attempt.number), attempt, target, owner = null)
    }

    /** Gives up the current attempt of [request]: withdraws its permit request, or cancels it if it runs. */
    fun abandonAttempt(request: IngressRequest) {
        when (val phase = request.phase) {
            is AwaitingPermit -> emit(
                IngressEffect.SendToOwner(
                    to = phase.owner,
                    message = AdmissionMessage.PermitReleased(phase.attempt, phase.target),
                ),
            )

            is Running -> emit(IngressEffect.CancelAttempt(phase.attempt))

            else -> Unit
        }
    }

    /** Returns the permit of [running] to the owner that granted it and to the current owner of the target. */
    fun release(running: Running) {
        if (running.owner == null) adjustInFlightWithoutPermit(running.target, change = -1)
        val timeToFirstToken = running.firstByteAt?.let { it - running.startedAt }
        val message = AdmissionMessage.PermitReleased(running.attempt, running.target, timeToFirstToken)
        listOfNotNull(ownerOf(running.target), running.owner).distinct().forEach { owner ->
            emit(IngressEffect.SendToOwner(owner, message))
        }
    }

    /** Ends a request without a complete response: as not-run only if no target can have started it. */
    fun endWithoutResponse(request: IngressRequest, reason: RefusalReason) =
        end(request, if (request.possibleRuns > 0) Outcome.MAY_HAVE_RUN else Outcome.NOT_RUN, reason)

    /** Ends the request: finishes its claim and reports to the client. Its permit must have been released. */
    fun end(request: IngressRequest, outcome: Outcome, reason: RefusalReason?) {
        if (request.head.id !in state.requests) return
        state = state.copy(requests = state.requests.remove(request.head.id))
        val ownsClaim = request.head.idempotency is Idempotency.Keyed && outcome != Outcome.ALREADY_RUN
        if (ownsClaim) emit(IngressEffect.FinishClaim(request.head, outcome))
        emit(IngressEffect.EndRequest(request.head.id, outcome, reason))
    }

    fun renewPermitsIfDue() {
        if (now - state.permitsRenewedAt >= settings.renewalInterval) renewPermits()
    }

    /** Renews the permits of all running attempts with the current owner of each target. */
    fun renewPermits() {
        state = state.copy(permitsRenewedAt = now)
        state.requests.values
            .mapNotNull { request -> (request.phase as? Running)?.let { request to it } }
            .groupBy { (_, running) -> running.target }
            .forEach { (target, held) -> sendToOwner(target, renewal(target, held)) }
    }

    /** Releases a permit that was granted after its attempt was given up. */
    fun releaseLateGrant(message: AdmissionMessage.PermitGranted) {
        if (running(message.attempt) != null) return
        sendToOwner(message.target, AdmissionMessage.PermitReleased(message.attempt, message.target))
    }

    private fun renewal(target: TargetId, held: List<Pair<IngressRequest, Running>>): AdmissionMessage =
        AdmissionMessage.PermitsRenewed(
            target = target,
            permits = held.map { (request, running) -> HeldPermit(running.attempt, permitDemand(request, target)) },
        )

    private fun adjustInFlightWithoutPermit(target: TargetId, change: Int) {
        val count = (state.inFlightWithoutPermit[target] ?: 0) + change
        val counts = state.inFlightWithoutPermit
        state = state.copy(inFlightWithoutPermit = if (count > 0) counts.put(target, count) else counts.remove(target))
    }
}
