package org.cicadaarch.dispatch.quarantine

import org.cicadaarch.model.Step
import org.cicadaarch.model.Timestamp

/**
 * Holds back requests that crash the targets which run them, on all routers.
 *
 * Each router reports to the store which requests it had in flight at a target that crashed, and which of the traits it
 * has seen complete since. Every router derives the same rules from these records ([CrashAnalysis]). [router] is this
 * router's name, by which it names its records.
 */
class QuarantineReducer(private val router: String) {
    /** The state and the effects after [event] at [now]. */
    fun reduce(
        state: QuarantineState,
        event: QuarantineEvent,
        now: Timestamp,
    ): Step<QuarantineState, QuarantineEffect> {
        val transition = QuarantineTransition(state, router, now)
        when (event) {
            is QuarantineEvent.AttemptLost -> transition.attemptLost(event.process, event.traits, event.sentAt)
            is QuarantineEvent.TargetChecked -> transition.targetChecked(event.process, event.isReachable)
            is QuarantineEvent.AttemptCompleted -> transition.attemptCompleted(event.traits, event.sentAt)
            is QuarantineEvent.RecordsChanged -> transition.recordsChanged(event.records)
            is QuarantineEvent.RequestRefused -> transition.requestRefused(event.rule)
            is QuarantineEvent.TrialClaimed -> transition.trialClaimed(event.key, event.isGranted)
            QuarantineEvent.Tick -> transition.tick()
        }
        return transition.step()
    }

    /** When the next [QuarantineEvent.Tick] after [now] is due, or null if no timer is needed. */
    fun nextTick(state: QuarantineState, now: Timestamp): Timestamp? =
        listOfNotNull(state.clearanceDueAt, RecordRetention.nextExpiry(state.records.values, now)).minOrNull()
}
