package org.cicadaarch.request

/**
 * How an attempt on a target failed.
 */
sealed class AttemptFailure {
    /** No byte of the request was written: the connection could not be made. */
    data object NotConnected : AttemptFailure()

    /** The target answered with [status] that it did not start the request. */
    data class Rejected(val status: Int) : AttemptFailure()

    /** The connection broke after bytes of the request were written. */
    data object ConnectionLost : AttemptFailure()

    /** Nothing came for so long that the connection is taken for dead. */
    data object Unresponsive : AttemptFailure()

    /** True when the failure proves that the target did not start the request. */
    val provesNotRun: Boolean get() = this is NotConnected || this is Rejected
}
