package org.cicadaarch.dispatch.routing

/**
 * What may be done with a request after an attempt that may have run.
 */
enum class RetryPolicy {
    /** The request may run any number of times. */
    IDEMPOTENT,

    /** A stream that another target can continue after the last event that the caller has. */
    RESUMABLE,

    /** The request must not run a second time. */
    AT_MOST_ONCE,
}
