package org.cicadaarch.dispatch.request

import org.cicadaarch.model.TargetId
import org.cicadaarch.model.Timestamp

/**
 * A request that has not ended. [starts] counts attempts that may have run, [tried] the targets of all attempts.
 * [isDelivering] is set once the caller has a part of the answer.
 */
data class OpenRequest(
    val request: DispatchRequest,
    val arrivedAt: Timestamp,
    val phase: Phase,
    val attempts: Int = 0,
    val starts: Int = 0,
    val tried: Set<TargetId> = emptySet(),
    val isDelivering: Boolean = false,
) {
    /** When the request ends at the latest. */
    val endsAt: Timestamp = arrivedAt + request.timeAllowed

    /** What the request waits for. */
    sealed class Phase {
        /** A place at a target, since [since]. */
        data class Waiting(val since: Timestamp) : Phase()

        /** The answer of [target] to the attempt that was sent at [sentAt], to the end if [isLast]. */
        data class Running(val target: TargetId, val sentAt: Timestamp, val isLast: Boolean = false) : Phase()
    }
}
