package org.cicadaarch.dispatch.quarantine

/**
 * An action that [QuarantineReducer] asks for.
 */
sealed class QuarantineEffect {
    /** Try to connect to [process], to learn whether it crashed. */
    data class CheckTarget(val process: TargetProcess) : QuarantineEffect()

    /** Report to operators that [report] is new. */
    data class CrashDetected(val report: CrashRecord.Report) : QuarantineEffect()

    /** Write [record] at [key] in the store, and try again until that succeeds. */
    data class WriteRecord(val key: String, val record: CrashRecord) : QuarantineEffect()

    /** Write [trial] at [key] if that key does not exist. */
    data class ClaimTrial(val key: String, val trial: CrashRecord.Trial) : QuarantineEffect()

    /** Remove [key] from the store. */
    data class RemoveRecord(val key: String) : QuarantineEffect()

    /** Hold back requests by [rules] from now on. */
    data class RulesChanged(val rules: List<QuarantineRule>) : QuarantineEffect()

    /** Let the next request through that [rule] matches. */
    data class TrialGranted(val rule: QuarantineRule) : QuarantineEffect()
}
