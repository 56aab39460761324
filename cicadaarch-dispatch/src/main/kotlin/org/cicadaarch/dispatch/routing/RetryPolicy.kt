package org.cicadaarch.dispatch.routing

/**
 * Whether a request may be sent again after an attempt that may have run.
 */
enum class RetryPolicy {
    /** The request may run any number of times. */
    IDEMPOTENT,

    /** The response is a stream that another target can continue after the last event that reached the client. */
    RESUMABLE,

    /** The request must not run a second time. */
    AT_MOST_ONCE,
}
