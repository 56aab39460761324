package org.cicadaarch.request

import org.cicadaarch.model.AttemptId
import org.cicadaarch.model.RouterId
import org.cicadaarch.model.TargetId
import org.cicadaarch.model.Timestamp

/**
 * Where an open request stands.
 */
sealed class RequestPhase {
    /** Waits for the ledger to record its claim. */
    data object AwaitingClaim : RequestPhase()

    /** Waits until [until] before it asks all targets again. */
    data class BackingOff(val until: Timestamp) : RequestPhase()

    /** Asked [owner] for a permit on [target]; its next answer is due at [replyDueAt]. */
    data class AwaitingPermit(
        val attempt: AttemptId,
        val target: TargetId,
        val owner: RouterId,
        val replyDueAt: Timestamp,
        val queued: Boolean = false,
    ) : RequestPhase()

    /** Runs on [target]; [owner] is null when it runs on this router's local budget. */
    data class Running(
        val attempt: AttemptId,
        val target: TargetId,
        val owner: RouterId?,
        val startedAt: Timestamp,
        val lastProgressAt: Timestamp,
        val firstByteAt: Timestamp? = null,
        val probe: ProbeState = ProbeState.NOT_SENT,
    ) : RequestPhase()
}
