package org.cicadaarch.dispatch.request

/**
 * How an attempt on a target ended.
 */
sealed class AttemptResult {
    /** The whole answer came with [status]; [isDelivered] tells whether the caller has it already. */
    data class Answered(val status: Int, val isDelivered: Boolean) : AttemptResult()

    /** The target certainly did not start the request; [reachedTarget] if bytes of it were sent. */
    data class NotStarted(val reason: String, val reachedTarget: Boolean, val isTargetAtFault: Boolean) :
        AttemptResult()

    /** The target may have run the request and no whole answer came. */
    data class Broken(val reason: String) : AttemptResult()
}
