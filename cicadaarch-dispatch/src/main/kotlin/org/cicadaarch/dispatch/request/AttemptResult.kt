package org.cicadaarch.dispatch.request

/**
 * How an attempt ended.
 */
sealed class AttemptResult {
    /** The complete response arrived with [status]; [isDelivered] tells whether the client already has it. */
    data class Answered(val status: Int, val isDelivered: Boolean) : AttemptResult()

    /**
     * The target certainly did not start the request. [reachedTarget] tells whether the request was sent to it,
     * [isTargetAtFault] whether the failure counts against it.
     */
    data class NotStarted(val reason: String, val reachedTarget: Boolean, val isTargetAtFault: Boolean) :
        AttemptResult()

    /**
     * The target may have run the request, but no complete response arrived. With [mayHaveCrashedTarget], the request
     * may be the reason for that, so it is not sent to another target.
     */
    data class Broken(val reason: String, val mayHaveCrashedTarget: Boolean = false) : AttemptResult()
}
