package org.cicadaarch.dispatch.request

import kotlin.time.Duration.Companion.milliseconds
import org.cicadaarch.dispatch.request.OpenRequest.Phase.Running
import org.cicadaarch.dispatch.request.OpenRequest.Phase.Waiting
import org.cicadaarch.dispatch.routing.RetryPolicy
import org.cicadaarch.dispatch.target.LoadReport
import org.cicadaarch.dispatch.target.TargetChoice
import org.cicadaarch.dispatch.target.TargetEntry
import org.cicadaarch.dispatch.target.TargetState
import org.cicadaarch.dispatch.target.TargetWish
import org.cicadaarch.model.ServiceName
import org.cicadaarch.model.Step
import org.cicadaarch.model.TargetId
import org.cicadaarch.model.Timestamp

/**
 * One step of the dispatch: collects the changes of the state and the effects of one event.
 */
internal class DispatchTransition(
    private var state: DispatchState,
    private val settings: DispatchSettings,
    private val now: Timestamp,
) {
    private val effects = mutableListOf<DispatchEffect>()
    private val choice = TargetChoice(settings.zone, settings.imbalanceFactor)

    fun step(): Step<DispatchState, DispatchEffect> = Step(state, effects)

    fun arrived(request: DispatchRequest) {
        earnRetry(request.service)
        place(OpenRequest(request = request, arrivedAt = now, phase = Waiting(now)))
    }

    fun deliveryBegun(id: ExchangeId, attempt: Int) {
        val (open, running) = runningAttempt(id, attempt) ?: return
        put(open.copy(isDelivering = true))
        updateTarget(running.target) { it.heard(now) }
    }

    fun progressed(id: ExchangeId, attempt: Int) {
        val (_, running) = runningAttempt(id, attempt) ?: return
        updateTarget(running.target) { it.heard(now) }
    }

    fun attemptEnded(id: ExchangeId, attempt: Int, result: AttemptResult) {
        val (open, running) = runningAttempt(id, attempt) ?: return
        updateTarget(running.target) { afterResult(it.released(), result) }
        when (result) {
            is AttemptResult.Answered ->
                if (open.isDelivering && !result.isDelivered) broken(open, "not-resumed") else answered(open, result)

            is AttemptResult.NotStarted -> notStarted(open, result)

            is AttemptResult.Broken -> broken(open, result.reason)
        }
        placeWaiting()
    }

    fun callerLeft(id: ExchangeId) {
        val open = state.requests[id] ?: return
        cancelRunning(open)
        remove(id)
        placeWaiting()
    }

    fun loadReported(target: TargetId, load: LoadReport) {
        updateTarget(target) { it.reported(load, now) }
        placeWaiting()
    }

    fun targetsChanged(entries: List<TargetEntry>) {
        val known = state.targets
        var targets = known
        (known.keys - entries.map { it.id }.toSet()).forEach { targets = targets.remove(it) }
        entries.forEach { entry ->
            val before = known[entry.id]
            val after = if (before != null && before.entry.isSameProcess(entry)) before.copy(entry = entry) else null
            targets = targets.put(entry.id, after ?: TargetState(entry))
        }
        state = state.copy(targets = targets)
        placeWaiting()
    }

    fun tick() {
        state.requests.values.filter { RequestTimers.nextFor(it) <= now }.forEach { open ->
            when (val phase = open.phase) {
                is Waiting -> refuse(open, "no-free-target")
                is Running -> runningDue(open, phase)
            }
        }
        placeWaiting()
    }

    private fun runningDue(open: OpenRequest, phase: Running) {
        if (RequestTimers.overdueAt(open) <= now) {
            cancelRunning(open)
            fail(open, RequestFailure.TimedOut("time-over"))
            return
        }
        val other = alternative(open, setOf(phase.target))
        if (other == null || !spendRetry(open.request.service)) {
            put(open.copy(phase = phase.copy(isLast = true)))
            return
        }
        cancelRunning(open)
        updateTarget(phase.target) { it.failed(now) }
        send(open, other)
    }

    private fun answered(open: OpenRequest, result: AttemptResult.Answered) {
        val route = open.request.route
        val mayRepeat = !result.isDelivered && result.status >= SERVER_ERROR &&
            route.retryPolicy != RetryPolicy.AT_MOST_ONCE && open.starts < route.maximumAttempts && hasTime(open)
        val other = if (mayRepeat) alternative(open, open.tried) else null
        if (other != null && spendRetry(open.request.service)) {
            send(open, other)
            return
        }
        if (!result.isDelivered) effects += DispatchEffect.Deliver(open.request.id)
        remove(open.request.id)
    }

    private fun notStarted(open: OpenRequest, result: AttemptResult.NotStarted) {
        val rest = open.copy(starts = open.starts - 1)
        val isAllowed = open.attempts < MOST_ATTEMPTS && hasTime(open)
        val other = if (isAllowed) alternative(rest, rest.tried) else null
        when {
            other != null && (!result.reachedTarget || spendRetry(open.request.service)) -> send(rest, other)
            rest.isDelivering -> fail(rest, RequestFailure.MayHaveRun(result.reason))
            rest.starts > 0 -> fail(rest, RequestFailure.MayHaveRun(result.reason))
            else -> refuse(rest, result.reason)
        }
    }

    private fun broken(open: OpenRequest, reason: String) {
        val route = open.request.route
        val isAllowed = route.retryPolicy != RetryPolicy.AT_MOST_ONCE && open.starts < route.maximumAttempts &&
            hasTime(open) && (!open.isDelivering || route.retryPolicy == RetryPolicy.RESUMABLE)
        val other = if (isAllowed) alternative(open, open.tried) else null
        when {
            other != null && spendRetry(open.request.service) -> send(open, other)
            else -> fail(open, RequestFailure.MayHaveRun(reason))
        }
    }

    private fun hasTime(open: OpenRequest): Boolean = open.endsAt - now > LEAST_TIME_LEFT

    private fun alternative(open: OpenRequest, excluded: Set<TargetId>): TargetState? = chooseFor(open, excluded)
        ?.takeIf { it.entry.id !in excluded }

    private fun place(open: OpenRequest) {
        val target = chooseFor(open, open.tried)
        if (target == null) put(open) else send(open, target)
    }

    private fun placeWaiting() {
        val waiting = state.requests.values.filter { it.phase is Waiting }
        waiting.sortedWith(compareBy({ it.request.priority }, { it.arrivedAt })).forEach { place(it) }
    }

    private fun chooseFor(open: OpenRequest, excluded: Set<TargetId>): TargetState? {
        val request = open.request
        val wish = TargetWish(request.promptKey, excluded, spread = request.id.value.hashCode())
        return choice.choose(targetsOf(request.service), wish, now)
    }

    private fun send(open: OpenRequest, target: TargetState) {
        val id = target.entry.id
        val attempt = open.attempts + 1
        put(
            open.copy(
                phase = Running(target = id, sentAt = now),
                attempts = attempt,
                starts = open.starts + 1,
                tried = open.tried + id,
            ),
        )
        updateTarget(id) { it.sent(now) }
        effects += DispatchEffect.Send(
            id = open.request.id,
            attempt = attempt,
            target = target.entry,
            timeLeft = open.endsAt - now,
            estimatedLoad = target.load(now),
            cacheSource = open.request.promptKey?.let { cacheSource(open.request.service, it, id) },
        )
    }

    private fun cacheSource(service: ServiceName, promptKey: String, chosen: TargetId): TargetEntry? {
        val holder = state.holders.holderOf(promptKey)
        state = state.copy(holders = state.holders.sent(promptKey, chosen))
        return choice.cacheSource(targetsOf(service), promptKey, chosen, holder, now)?.entry
    }

    private fun targetsOf(service: ServiceName): List<TargetState> =
        state.targets.values.filter { it.entry.service == service }

    private fun cancelRunning(open: OpenRequest) {
        val running = open.phase as? Running ?: return
        updateTarget(running.target) { it.released() }
        effects += DispatchEffect.Cancel(open.request.id, open.attempts)
    }

    private fun refuse(open: OpenRequest, reason: String) =
        fail(open, RequestFailure.NotRun(reason, retryAfter = RETRY_AFTER))

    private fun fail(open: OpenRequest, failure: RequestFailure) {
        effects += DispatchEffect.Fail(open.request.id, failure)
        remove(open.request.id)
    }

    private fun afterResult(target: TargetState, result: AttemptResult): TargetState = when (result) {
        is AttemptResult.Answered -> if (result.status >= SERVER_ERROR) target.erred() else target.succeeded()
        is AttemptResult.NotStarted -> if (result.isTargetAtFault) target.failed(now) else target
        is AttemptResult.Broken -> target.failed(now)
    }.heard(now)

    private fun runningAttempt(id: ExchangeId, attempt: Int): Pair<OpenRequest, Running>? {
        val open = state.requests[id] ?: return null
        val running = open.phase as? Running ?: return null
        return if (open.attempts == attempt) open to running else null
    }

    private fun earnRetry(service: ServiceName) {
        val before = state.retryBudgets[service] ?: RetryBudget(settings.retrySlack)
        val after = before.earned(settings.retryRatio * RATIO_PART, most = settings.retrySlack)
        state = state.copy(retryBudgets = state.retryBudgets.put(service, after))
    }

    private fun spendRetry(service: ServiceName): Boolean {
        val budget = state.retryBudgets[service] ?: return false
        if (!budget.allowsOne) return false
        state = state.copy(retryBudgets = state.retryBudgets.put(service, budget.spent()))
        return true
    }

    private fun updateTarget(id: TargetId, change: (TargetState) -> TargetState) {
        val target = state.targets[id] ?: return
        val changed = change(target)
        state = state.copy(targets = state.targets.put(id, changed))
        if (changed.failures > target.failures && changed.avoidedUntil != null) {
            effects += DispatchEffect.TargetEjected(id, changed.avoidedUntil - now, changed.failures)
        }
    }

    private fun put(open: OpenRequest) {
        state = state.copy(requests = state.requests.put(open.request.id, open))
    }

    private fun remove(id: ExchangeId) {
        state = state.copy(requests = state.requests.remove(id))
    }

    private companion object {
        const val SERVER_ERROR = 500

        /** Targets asked for one request, those that refused included. */
        const val MOST_ATTEMPTS = 4

        /** The part of the retry ratio that is used, as the fleet's count differs a little from this router's. */
        const val RATIO_PART = 0.9
        val LEAST_TIME_LEFT = 20.milliseconds
        val RETRY_AFTER = 150.milliseconds
    }
}
