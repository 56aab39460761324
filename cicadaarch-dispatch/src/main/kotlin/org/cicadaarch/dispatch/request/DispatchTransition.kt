package org.cicadaarch.dispatch.request

import kotlin.time.Duration.Companion.seconds
import org.cicadaarch.dispatch.admission.AdmissionControl
import org.cicadaarch.dispatch.admission.QueueAccounting
import org.cicadaarch.dispatch.admission.QueueScan
import org.cicadaarch.dispatch.admission.TokenLimits
import org.cicadaarch.dispatch.capacity.CapacityFilter
import org.cicadaarch.dispatch.observation.DatedLoad
import org.cicadaarch.dispatch.observation.LocalObservations
import org.cicadaarch.dispatch.quarantine.QuarantineRule
import org.cicadaarch.dispatch.quarantine.TrialSchedule
import org.cicadaarch.dispatch.request.OpenRequest.Phase.InFlight
import org.cicadaarch.dispatch.request.OpenRequest.Phase.Queued
import org.cicadaarch.dispatch.routing.RetryPolicy
import org.cicadaarch.dispatch.target.LoadReport
import org.cicadaarch.dispatch.target.SelectionCriteria
import org.cicadaarch.dispatch.target.TargetEntry
import org.cicadaarch.dispatch.target.TargetNotice
import org.cicadaarch.dispatch.target.TargetSelection
import org.cicadaarch.dispatch.target.TargetSelector
import org.cicadaarch.dispatch.target.TargetState
import org.cicadaarch.model.ServiceName
import org.cicadaarch.model.Step
import org.cicadaarch.model.TargetId
import org.cicadaarch.model.Timestamp

/**
 * The handling of one event: collects the changes of the state and the effects.
 */
internal class DispatchTransition(
    private var state: DispatchState,
    private val settings: DispatchSettings,
    private val now: Timestamp,
) {
    private val effects = mutableListOf<DispatchEffect>()
    private val selector: TargetSelector
        get() = TargetSelector(
            zone = settings.zone,
            imbalanceFactor = settings.imbalanceFactor,
            evacuations = state.evacuations,
            capacityFilter = CapacityFilter(state.capacities.limited(now)),
        )

    fun step(): Step<DispatchState, DispatchEffect> = Step(state, effects)

    /** Continues with [next], in which targets may have room that queued requests wait for. */
    fun stateChanged(next: DispatchState) {
        state = next
        sendQueued()
    }

    fun requestReceived(request: DispatchRequest) {
        val before = state.retryBudgets[request.service] ?: RetryBudget(settings.retrySlack)
        val budget = before.withRequest(settings.retryRatio * RETRY_RATIO_FRACTION, capacity = settings.retrySlack)
        state = state.copy(retryBudgets = state.retryBudgets.put(request.service, budget))
        val queuedFrom = state.admission.queuedFrom(request, now)
        state = state.copy(admission = state.admission.withArrival(request, now))
        putRequest(OpenRequest(request, arrivedAt = now, phase = Queued(now), queuedFrom = queuedFrom))
        sendQueued()
        state.requests[request.id]?.let { open ->
            AdmissionControl(state, now).refusalAtOnce(open)?.let { fail(open, it) }
        }
    }

    fun responseStarted(id: ExchangeId, attempt: Int) {
        val (open, inFlight) = currentAttempt(id, attempt) ?: return
        state = CapacityObservations.responseStarted(state, open, inFlight, now)
        putRequest(open.copy(hasResponseStarted = true))
        updateTarget(inFlight) { it.withDataReceived(now) }
    }

    fun dataReceived(id: ExchangeId, attempt: Int) {
        val (_, inFlight) = currentAttempt(id, attempt) ?: return
        updateTarget(inFlight) { it.withDataReceived(now) }
    }

    fun attemptEnded(id: ExchangeId, attempt: Int, result: AttemptResult) {
        val (open, inFlight) = currentAttempt(id, attempt) ?: return
        updateTarget(inFlight) { withResult(it.withAttemptEnded(), result) }
        state = CapacityObservations.attemptEnded(state, open, inFlight, result, now)
        state = state.copy(observations = state.observations.withResult(open.request, inFlight, result, now))
        state = state.copy(admission = state.admission.withResult(open.request.service, inFlight, result, now))
        when (result) {
            is AttemptResult.Answered -> if (open.hasResponseStarted && !result.isDelivered) {
                attemptBroken(open, "not-resumed")
            } else {
                responseReceived(open, result)
            }

            is AttemptResult.NotStarted -> attemptNotStarted(open, result)

            is AttemptResult.Broken -> attemptBroken(open, result.reason, result.mayHaveCrashedTarget)
        }
        sendQueued()
    }

    fun clientDisconnected(id: ExchangeId) {
        val open = state.requests[id] ?: return
        cancelAttempt(open)
        removeRequest(id)
        sendQueued()
    }

    fun loadReported(target: TargetId, load: LoadReport) {
        updateTarget(target) { it.withLoadReport(load, now) }
        state = CapacityObservations.loadReported(state, target, load, now)
        val unreported = state.observations.unreported.withLoad(target, DatedLoad(load.total, at = now))
        state = state.copy(observations = state.observations.copy(unreported = unreported))
        sendQueued()
    }

    fun observationsReported() {
        state = state.copy(observations = state.observations.copy(unreported = LocalObservations()))
    }

    fun targetNoticeReceived(entry: TargetEntry, notice: TargetNotice) {
        val notices = state.targetNotices.with(entry, notice, now)
        if (notices == state.targetNotices) return
        state = state.copy(targetNotices = notices)
        effects += DispatchEffect.TargetNoticeTaken(entry, notice)
    }

    fun trialGranted(rule: QuarantineRule) {
        state = state.copy(heldRequests = state.heldRequests.withTrial(rule))
    }

    fun stopping() = state.requests.values.forEach { open ->
        when (open.phase) {
            is Queued -> refuse(open, STOPPING)

            is InFlight -> {
                cancelAttempt(open)
                fail(open, RequestFailure.MayHaveRun(STOPPING))
            }
        }
    }

    fun tick() {
        state.requests.values.filter { RequestTimers.nextTimeout(it) <= now }.forEach { open ->
            when (val phase = open.phase) {
                is Queued -> fail(open, AdmissionControl(state, now).timedOut(open))
                is InFlight -> inFlightTimedOut(open, phase)
            }
        }
        sendQueued()
    }

    /** Ends the request if its time is over, else replaces the slow attempt by one on another target if possible. */
    private fun inFlightTimedOut(open: OpenRequest, phase: InFlight) {
        if (RequestTimers.requestTimeoutAt(open) <= now) {
            cancelAttempt(open)
            fail(open, RequestFailure.TimedOut("time-over"))
            return
        }
        val alternative = findAlternative(open, setOf(phase.target))
        if (alternative == null || !takeRetry(open.request.service)) {
            putRequest(open.copy(phase = phase.copy(isFinal = true)))
            return
        }
        cancelAttempt(open)
        updateTarget(phase) { it.withFailure(now) }
        send(open, alternative)
    }

    private fun responseReceived(open: OpenRequest, result: AttemptResult.Answered) {
        val mayRetry = RetryRules.mayRetryAfterResponse(open, result, now)
        val alternative = if (mayRetry) findAlternative(open, open.triedTargets) else null
        if (alternative != null && takeRetry(open.request.service)) {
            send(open, alternative)
            return
        }
        if (!result.isDelivered) effects += DispatchEffect.Deliver(open.request.id)
        removeRequest(open.request.id)
    }

    private fun attemptNotStarted(open: OpenRequest, result: AttemptResult.NotStarted) {
        val updated = open.copy(possibleRuns = open.possibleRuns - 1)
        val mayRetry = RetryRules.mayRetryNotStarted(open, result, now)
        val alternative = if (mayRetry) findAlternative(updated, updated.triedTargets) else null
        when {
            alternative != null && (!result.reachedTarget || takeRetry(open.request.service)) ->
                send(updated, alternative)

            updated.hasResponseStarted || updated.possibleRuns > 0 ->
                fail(updated, RequestFailure.MayHaveRun(result.reason))

            else -> refuse(updated, result.reason)
        }
    }

    private fun attemptBroken(open: OpenRequest, reason: String, mayHaveCrashedTarget: Boolean = false) {
        val mayRetry = !mayHaveCrashedTarget && RetryRules.mayRetryBroken(open, now)
        val alternative = if (mayRetry) findAlternative(open, open.triedTargets) else null
        when {
            alternative != null && takeRetry(open.request.service) -> send(open, alternative)
            else -> fail(open, RequestFailure.MayHaveRun(reason))
        }
    }

    private fun findAlternative(open: OpenRequest, excluded: Set<TargetId>): TargetSelection? {
        if (state.heldRequests.ruleFor(open.request.traits) != null) return null
        return selectTarget(open, excluded)?.takeIf { it.target.entry.id !in excluded }
    }

    private fun sendOrQueue(open: OpenRequest) {
        val rule = state.heldRequests.ruleFor(open.request.traits)
        if (rule != null) return holdBack(open, rule)
        val selection = selectTarget(open, open.triedTargets)
        val entries = targetsOf(open.request.service).map { it.entry }
        val backOffEnd = if (selection == null) state.targetNotices.backOffEnd(entries, now) else null
        when {
            selection != null -> send(open, selection)

            entries.isNotEmpty() && entries.all { state.evacuations.contains(it.zone) } ->
                fail(open, RequestFailure.NotRun(EVACUATED, RetryAfter.spread(EVACUATED_RETRY_AFTER, open.request)))

            backOffEnd != null && backOffEnd >= RequestTimers.nextTimeout(open) ->
                fail(open, RequestFailure.NotRun(BACKING_OFF, RetryAfter.spread(backOffEnd - now, open.request)))

            else -> putRequest(open)
        }
    }

    private fun holdBack(open: OpenRequest, rule: QuarantineRule) {
        effects += DispatchEffect.RequestHeldBack(open.request.id, rule)
        fail(open, RequestFailure.NotRun(HELD_BACK, retryAfter = TrialSchedule.FIRST_DELAY))
    }

    private fun sendQueued() {
        val scan = QueueScan(now)
        while (true) {
            val open = scan.next(state) ?: return
            sendOrQueue(open)
            scan.tried(open, state)
        }
    }

    private fun selectTarget(open: OpenRequest, excluded: Set<TargetId>): TargetSelection? {
        val request = open.request
        val limits = TokenLimits(state, request)
        val targets = targetsOf(request.service)
        val criteria = SelectionCriteria(
            promptKey = request.promptKey,
            excluded = excluded,
            tieBreaker = request.id.value.hashCode(),
            promptDemand = state.observations.demand(request, now),
            avoided = limits.busyReading(targets),
            mayBeRepeated = request.route.retryPolicy != RetryPolicy.AT_MOST_ONCE,
        )
        val willing = targets.filter { state.targetNotices.wantsRequests(it.entry, now) && limits.fits(it) }
        return selector.select(willing, criteria, now, WarmUpChanges.rules(state, settings, request.service, now))
    }

    private fun send(open: OpenRequest, selection: TargetSelection) {
        val target = selection.target
        val id = target.entry.id
        val attempt = open.attempts + 1
        if (attempt == 1) state = state.copy(admission = QueueAccounting.sent(state, open.request, now))
        putRequest(
            open.copy(
                phase = InFlight(target.entry, sentAt = now, uncachedTokens = uncachedTokens(open.request, id)),
                attempts = attempt,
                possibleRuns = open.possibleRuns + 1,
                triedTargets = open.triedTargets + id,
                unreadTokens = TokenLimits(state, open.request).unreadAt(id),
            ),
        )
        updateTarget(id) { WarmUpChanges.sent(it.withAttemptSent(now), now) }
        state = state.copy(heldRequests = state.heldRequests.withSent(open.request.traits))
        state = state.copy(observations = state.observations.withSent(open.request))
        effects += DispatchEffect.Send(
            id = open.request.id,
            attempt = attempt,
            target = target.entry,
            timeLeft = open.deadline - now,
            connectTimeout = RequestTimers.connectTimeout(open),
            estimatedLoad = selection.load,
            loadBound = selection.loadBound,
            loadReportAge = selection.loadKnownAt?.let { now - it },
            cacheSource = open.request.promptKey?.let { recordPromptSent(open.request.service, it, id) },
            warmUpRemaining = selection.warmUpRemaining,
        )
    }

    private fun uncachedTokens(request: DispatchRequest, target: TargetId): Int {
        val isCached = request.promptKey?.let { state.promptLocations.lastTarget(it) } == target
        return if (isCached) 0 else request.work?.promptTokens ?: 0
    }

    /** Records that the prompt goes to [selected] and returns the target from which its cache may be copied. */
    private fun recordPromptSent(service: ServiceName, promptKey: String, selected: TargetId): TargetEntry? {
        val lastTarget = state.promptLocations.lastTarget(promptKey)
        state = state.copy(promptLocations = state.promptLocations.withSent(promptKey, selected))
        val sources = targetsOf(service)
            .filter { state.evacuations.allowCacheCopies(it.entry.zone, settings.evacuationTime, now) }
        val rules = WarmUpChanges.rules(state, settings, service, now)
        return selector.cacheSource(sources, promptKey, selected, lastTarget, now, rules)?.entry
    }

    private fun targetsOf(service: ServiceName): List<TargetState> =
        state.targets.values.filter { it.entry.service == service }

    private fun cancelAttempt(open: OpenRequest) {
        val inFlight = open.phase as? InFlight ?: return
        state = CapacityObservations.attemptCancelled(state, open, inFlight, now)
        updateTarget(inFlight) { it.withAttemptEnded() }
        effects += DispatchEffect.Cancel(open.request.id, open.attempts)
    }

    private fun refuse(open: OpenRequest, reason: String) =
        fail(open, RequestFailure.NotRun(reason, retryAfter = AdmissionControl.MIN_RETRY_AFTER))

    private fun fail(open: OpenRequest, failure: RequestFailure) {
        state = state.copy(admission = state.admission.withFailure(open, failure, now))
        effects += DispatchEffect.Fail(open.request.id, failure)
        removeRequest(open.request.id)
    }

    private fun withResult(target: TargetState, result: AttemptResult): TargetState = when (result) {
        is AttemptResult.Answered ->
            if (result.status >= MIN_SERVER_ERROR) target.withServerError() else target.withSuccess()

        is AttemptResult.NotStarted -> if (result.isTargetAtFault) target.withFailure(now) else target

        is AttemptResult.Broken -> target.withFailure(now)
    }.withDataReceived(now)

    /** The request [id] and its phase if [attempt] is in flight, else null: events of earlier attempts are ignored. */
    private fun currentAttempt(id: ExchangeId, attempt: Int): Pair<OpenRequest, InFlight>? {
        val open = state.requests[id] ?: return null
        val inFlight = open.phase as? InFlight ?: return null
        return if (open.attempts == attempt) open to inFlight else null
    }

    /** Takes one retry from the budget of [service]; returns false if the budget does not allow it. */
    private fun takeRetry(service: ServiceName): Boolean {
        val budget = state.retryBudgets[service] ?: return false
        if (!budget.allowsRetry) return false
        state = state.copy(retryBudgets = state.retryBudgets.put(service, budget.withRetry()))
        return true
    }

    /** Changes the target of an attempt, unless another process runs under its id by now. */
    private fun updateTarget(inFlight: InFlight, change: (TargetState) -> TargetState) {
        val isSameProcess = state.targets[inFlight.target]?.entry?.isSameProcess(inFlight.entry) == true
        if (isSameProcess) updateTarget(inFlight.target, change)
    }

    private fun updateTarget(id: TargetId, change: (TargetState) -> TargetState) {
        val target = state.targets[id] ?: return
        val changed = change(target)
        state = state.copy(targets = state.targets.put(id, changed))
        if (changed.failures > target.failures && changed.ejectedUntil != null) {
            effects += DispatchEffect.TargetEjected(id, changed.ejectedUntil - now, changed.failures)
        }
    }

    private fun putRequest(open: OpenRequest) {
        state = state.withRequest(open)
    }

    private fun removeRequest(id: ExchangeId) {
        state = state.withoutRequest(id)
    }

    private companion object {
        const val MIN_SERVER_ERROR = 500

        /** Fraction of the retry ratio in use, as the fleet's request count differs slightly from this router's. */
        const val RETRY_RATIO_FRACTION = 0.9

        /** Reason of a refusal because all targets want no requests for some time. */
        const val BACKING_OFF = "targets-back-off"

        /** Reason of a refusal because all targets lie in zones that are evacuated. */
        const val EVACUATED = "evacuated"

        /** Operators take minutes to take an evacuation back, so sooner retries are futile. */
        val EVACUATED_RETRY_AFTER = 1.seconds

        /** Reason of a failure because this router exits. */
        const val STOPPING = "stopping"

        /** Reason of a refusal because equal requests crash targets. */
        const val HELD_BACK = "crashes-targets"
    }
}
