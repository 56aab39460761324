package org.cicadaarch.dispatch.request

import kotlin.time.Duration
import org.cicadaarch.dispatch.capacity.RelativeTimes
import org.cicadaarch.dispatch.request.OpenRequest.Phase.InFlight
import org.cicadaarch.dispatch.target.LoadReport
import org.cicadaarch.model.TargetId
import org.cicadaarch.model.Timestamp

/**
 * The state of the dispatch after something was learned of the capacity of a target.
 */
internal object CapacityObservations {
    private const val MIN_CLIENT_ERROR = 400
    private const val MIN_SERVER_ERROR = 500

    /** The weight of what a target states of itself: that holds only for the moment. */
    private const val STATED_WEIGHT = 0.25

    /** The state after the first part of a response arrived. */
    fun responseStarted(state: DispatchState, open: OpenRequest, attempt: InFlight, now: Timestamp): DispatchState =
        if (open.hasResponseStarted || !isCurrentProcess(state, attempt)) {
            state
        } else {
            withResponse(state, open, attempt, now)
        }

    /** The state after [attempt] ended with [result]. */
    fun attemptEnded(
        state: DispatchState,
        open: OpenRequest,
        attempt: InFlight,
        result: AttemptResult,
        now: Timestamp,
    ): DispatchState {
        if (!isCurrentProcess(state, attempt)) return state
        val hasFailed = when (result) {
            is AttemptResult.Answered -> result.status >= MIN_SERVER_ERROR
            is AttemptResult.NotStarted -> result.isTargetAtFault
            is AttemptResult.Broken -> true
        }
        return when {
            hasFailed -> withTimes(state, attempt.target, RelativeTimes.sample(RelativeTimes.MAX_TIME), now)

            result is AttemptResult.Answered && result.status < MIN_CLIENT_ERROR ->
                responseStarted(state, open, attempt, now)

            else -> state
        }
    }

    /** The state after [attempt] was cancelled: if it is late by then, that counts. */
    fun attemptCancelled(state: DispatchState, open: OpenRequest, attempt: InFlight, now: Timestamp): DispatchState {
        if (open.hasResponseStarted || !isCurrentProcess(state, attempt)) return state
        val relativeTime = relativeTime(state, open, attempt, now)?.takeIf { it > 1.0 } ?: return state
        return withTimes(state, attempt.target, RelativeTimes.sample(relativeTime), now)
    }

    /** The state after [target] sent [load]. */
    fun loadReported(state: DispatchState, target: TargetId, load: LoadReport, now: Timestamp): DispatchState {
        val stated = load.relativeRunTime ?: return state
        return withTimes(state, target, RelativeTimes.sample(stated, STATED_WEIGHT), now)
    }

    /** Whether the process that got [attempt] still runs, as far as is known: its successor may be slow or not. */
    private fun isCurrentProcess(state: DispatchState, attempt: InFlight): Boolean =
        state.targets[attempt.target]?.entry?.isSameProcess(attempt.entry) == true

    private fun withResponse(
        state: DispatchState,
        open: OpenRequest,
        attempt: InFlight,
        now: Timestamp,
    ): DispatchState {
        val relativeTime = relativeTime(state, open, attempt, now)
        val route = open.request.route.name
        val learned = state.capacities.withResponse(route, attempt.uncachedTokens, now - attempt.sentAt)
        val next = state.copy(capacities = learned)
        return if (relativeTime == null) {
            next
        } else {
            withTimes(next, attempt.target, RelativeTimes.sample(relativeTime), now)
        }
    }

    private fun relativeTime(state: DispatchState, open: OpenRequest, attempt: InFlight, now: Timestamp): Double? =
        state.capacities.relativeTime(
            route = open.request.route.name,
            uncachedTokens = attempt.uncachedTokens,
            time = now - attempt.sentAt,
            queueingTime = queueingTime(state, open, attempt, now),
        )

    /** How long a request waits at a target with the usual speed before it runs, by the load of that target. */
    private fun queueingTime(state: DispatchState, open: OpenRequest, attempt: InFlight, now: Timestamp): Duration {
        val target = state.targets[attempt.target] ?: return Duration.ZERO
        val slots = target.entry.slots.coerceAtLeast(1)
        val waiting = (target.load(now) - slots).coerceIn(0.0, slots.toDouble())
        return state.observations.usualRunTime(open.request) * (waiting / slots)
    }

    private fun withTimes(state: DispatchState, target: TargetId, times: RelativeTimes, now: Timestamp): DispatchState {
        val service = state.targets[target]?.entry?.service ?: return state
        val serviceTargets = { state.targets.values.map { it.entry }.filter { it.service == service }.map { it.id } }
        val unreported = state.observations.unreported.withTimes(target, times, now)
        return state.copy(
            capacities = state.capacities.withOwn(target, times, serviceTargets, now),
            observations = state.observations.copy(unreported = unreported),
        )
    }
}
