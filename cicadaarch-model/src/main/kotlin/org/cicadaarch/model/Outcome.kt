package org.cicadaarch.model

import kotlinx.serialization.Serializable

/**
 * How a request ended, as reported to the client. [label] is the value of the outcome header.
 */
@Serializable
enum class Outcome(val label: String) {
    /** The client received the complete response. */
    COMPLETED("completed"),

    /** No target ran the request, and none will. */
    NOT_RUN("not-run"),

    /** A target may have run the request, but the response is missing or incomplete. */
    MAY_HAVE_RUN("may-have-run"),

    /** An earlier request with the same idempotency key ran, is running or may have run. */
    ALREADY_RUN("already-run"),
}
