package org.cicadaarch.dispatch.request

import org.cicadaarch.dispatch.target.TargetEntry
import org.cicadaarch.model.TargetId
import org.cicadaarch.model.Timestamp

/**
 * A request that has not ended.
 *
 * [attempts] counts all attempts, [possibleRuns] only those that may have run. [triedTargets] are the targets of all
 * attempts. [hasResponseStarted] is set once the client has received part of the response. In the order of the queue,
 * the request counts as having arrived at [queuedFrom]. The target of the latest attempt had [unreadTokens] of the
 * prompt to read.
 */
data class OpenRequest(
    val request: DispatchRequest,
    val arrivedAt: Timestamp,
    val phase: Phase,
    val attempts: Int = 0,
    val possibleRuns: Int = 0,
    val triedTargets: Set<TargetId> = emptySet(),
    val hasResponseStarted: Boolean = false,
    val queuedFrom: Timestamp = arrivedAt,
    val unreadTokens: Int = 0,
) {
    /** When the time allowed for the request is over. */
    val deadline: Timestamp = arrivedAt + request.timeAllowed

    /** What the request is waiting for. */
    sealed class Phase {
        /** Queued since [since] until a target has a free slot. */
        data class Queued(val since: Timestamp) : Phase()

        /**
         * In flight since [sentAt] at the target with [entry]. If [isFinal], the attempt may take until the deadline,
         * else a slow one may be replaced by an attempt on another target. The target reads [uncachedTokens] of the
         * prompt, as far as known.
         */
        data class InFlight(
            val entry: TargetEntry,
            val sentAt: Timestamp,
            val isFinal: Boolean = false,
            val uncachedTokens: Int = 0,
        ) : Phase() {
            /** The target's id. */
            val target: TargetId get() = entry.id
        }
    }
}
