package org.cicadaarch.request

import org.cicadaarch.model.AttemptId
import org.cicadaarch.model.RouterId
import org.cicadaarch.model.TargetId
import org.cicadaarch.model.Timestamp

/**
 * The processing phase of a request at its ingress.
 */
sealed class IngressPhase {
    /** The request waits for the ledger to record its claim of the idempotency key. */
    data object AwaitingClaim : IngressPhase()

    /** No target of a round accepted the request; the next round starts at [until]. */
    data class BackingOff(val until: Timestamp) : IngressPhase()

    /**
     * A permit on [target] was requested from its admission [owner], whose next reply is due at [replyDueAt]. [queued]
     * is set once the owner has replied that the attempt waits in the target's queue.
     */
    data class AwaitingPermit(
        val attempt: AttemptId,
        val target: TargetId,
        val owner: RouterId,
        val replyDueAt: Timestamp,
        val queued: Boolean = false,
    ) : IngressPhase()

    /**
     * The attempt runs on [target] under a permit of [owner], or without a permit when [owner] is null. [firstByteAt]
     * is null until the response starts. [probe] is reset each time the response progresses.
     */
    data class Running(
        val attempt: AttemptId,
        val target: TargetId,
        val owner: RouterId?,
        val startedAt: Timestamp,
        val lastProgressAt: Timestamp,
        val firstByteAt: Timestamp? = null,
        val probe: ProbeState = ProbeState.NOT_SENT,
    ) : IngressPhase()
}
