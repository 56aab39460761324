package org.cicadaarch.dispatch.request

import org.cicadaarch.model.Step
import org.cicadaarch.model.Timestamp

/**
 * Selects a target for each request and decides whether a failed attempt is retried.
 *
 * Each request ends exactly once: with a response, with a [RequestFailure], or when its client disconnects.
 */
class DispatchReducer(private val settings: DispatchSettings) {
    /** The state and the effects after [event] at [now]. */
    fun reduce(state: DispatchState, event: DispatchEvent, now: Timestamp): Step<DispatchState, DispatchEffect> {
        val transition = DispatchTransition(state, settings, now)
        when (event) {
            is DispatchEvent.RequestReceived -> transition.requestReceived(event.request)

            is DispatchEvent.ResponseStarted -> transition.responseStarted(event.id, event.attempt)

            is DispatchEvent.DataReceived -> transition.dataReceived(event.id, event.attempt)

            is DispatchEvent.AttemptEnded -> transition.attemptEnded(event.id, event.attempt, event.result)

            is DispatchEvent.ClientDisconnected -> transition.clientDisconnected(event.id)

            is DispatchEvent.LoadReported -> transition.loadReported(event.target, event.load)

            is DispatchEvent.TargetNoticeReceived -> transition.targetNoticeReceived(event.entry, event.notice)

            DispatchEvent.ObservationsReported -> transition.observationsReported()

            is DispatchEvent.FleetObserved -> transition.stateChanged(FleetChanges.observed(state, event.summary, now))

            is DispatchEvent.TargetsChanged -> transition.stateChanged(
                FleetChanges.targets(state, event.entries, now),
            )

            is DispatchEvent.ServicesChanged -> transition.stateChanged(FleetChanges.services(state, event.services))

            is DispatchEvent.ZonesEvacuated -> transition.stateChanged(
                FleetChanges.evacuations(state, event.zones, now),
            )

            is DispatchEvent.QuarantineChanged -> transition.stateChanged(FleetChanges.quarantine(state, event.rules))

            is DispatchEvent.TrialGranted -> transition.trialGranted(event.rule)

            DispatchEvent.Stopping -> transition.stopping()

            DispatchEvent.Tick -> transition.tick()
        }
        return transition.step()
    }

    /** When the next [DispatchEvent.Tick] after [now] is due, or null if no request is open. */
    fun nextTick(state: DispatchState, now: Timestamp): Timestamp? {
        val nextTimeout = state.requests.values.minOfOrNull { RequestTimers.nextTimeout(it) } ?: return null
        val hasQueued = state.queued.isNotEmpty()
        val backOffEnd = if (hasQueued) state.targetNotices.nextBackOffEnd(now) else null
        val warmUpChance = if (hasQueued) WarmUpChanges.nextChance(state, settings, now) else null
        return listOfNotNull(nextTimeout, backOffEnd, warmUpChance).min()
    }
}
