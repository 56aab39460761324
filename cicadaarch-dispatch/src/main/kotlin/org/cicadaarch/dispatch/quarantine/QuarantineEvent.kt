package org.cicadaarch.dispatch.quarantine

/**
 * An input to the quarantine of requests that crash targets, handled by [QuarantineReducer].
 */
sealed class QuarantineEvent {
    /**
     * The connection of an attempt on [process] was lost before the response was complete. [sentAt] is the logical time
     * at which the attempt was sent, see [QuarantineState.logicalTime].
     */
    data class AttemptLost(val process: TargetProcess, val traits: Set<RequestTrait>, val sentAt: Long) :
        QuarantineEvent()

    /** A new connection to [process] was tried after an attempt there was lost. */
    data class TargetChecked(val process: TargetProcess, val isReachable: Boolean) : QuarantineEvent()

    /** An attempt that was sent at the logical time [sentAt] ended with a complete and successful response. */
    data class AttemptCompleted(val traits: Set<RequestTrait>, val sentAt: Long) : QuarantineEvent()

    /** The records in the store, by key, are now [records]. */
    data class RecordsChanged(val records: Map<String, CrashRecord>) : QuarantineEvent()

    /** A request was refused because of [rule]. */
    data class RequestRefused(val rule: QuarantineRule) : QuarantineEvent()

    /** The store answered the claim of the trial at [key]; [isGranted] tells whether no other router had claimed it. */
    data class TrialClaimed(val key: String, val isGranted: Boolean) : QuarantineEvent()

    /** The time given by [QuarantineReducer.nextTick] has come. */
    data object Tick : QuarantineEvent()
}
