package org.cicadaarch.dispatch.request

import org.cicadaarch.model.Step
import org.cicadaarch.model.Timestamp

/**
 * Decides which target serves each request, and what becomes of a request whose attempt failed.
 *
 * Every request ends once: by an answer, by a [RequestFailure], or when its caller leaves.
 */
class DispatchReducer(private val settings: DispatchSettings) {
    /** The state and the effects after [event] at [now]. */
    fun reduce(state: DispatchState, event: DispatchEvent, now: Timestamp): Step<DispatchState, DispatchEffect> {
        val transition = DispatchTransition(state, settings, now)
        when (event) {
            is DispatchEvent.RequestReceived -> transition.arrived(event.request)
            is DispatchEvent.ResponseStarted -> transition.deliveryBegun(event.id, event.attempt)
            is DispatchEvent.DataReceived -> transition.progressed(event.id, event.attempt)
            is DispatchEvent.AttemptEnded -> transition.attemptEnded(event.id, event.attempt, event.result)
            is DispatchEvent.ClientDisconnected -> transition.callerLeft(event.id)
            is DispatchEvent.LoadReported -> transition.loadReported(event.target, event.load)
            is DispatchEvent.TargetsChanged -> transition.targetsChanged(event.entries)
            DispatchEvent.Tick -> transition.tick()
        }
        return transition.step()
    }

    /** When the next [DispatchEvent.Tick] is due, or null when nothing waits for time to pass. */
    fun nextTick(state: DispatchState): Timestamp? = state.requests.values.minOfOrNull { RequestTimers.nextFor(it) }
}
