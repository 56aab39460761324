package org.cicadaarch.request

/**
 * Why an attempt on a target failed.
 */
sealed class AttemptFailure {
    /** The connection could not be established, so no byte of the request was sent. */
    data object NotConnected : AttemptFailure()

    /** The target responded with [status], which says that it did not start the request. */
    data class Rejected(val status: Int) : AttemptFailure()

    /** The connection was closed or reset after bytes of the request had been sent. */
    data object ConnectionLost : AttemptFailure()

    /** The target exceeded its idle timeout, or did not respond to a probe on a new connection. */
    data object Unresponsive : AttemptFailure()

    /** Whether the failure proves that the target did not start the request. */
    val provesNotRun: Boolean get() = this is NotConnected || this is Rejected
}
