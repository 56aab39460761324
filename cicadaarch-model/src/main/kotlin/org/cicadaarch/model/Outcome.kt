package org.cicadaarch.model

import kotlinx.serialization.Serializable

/**
 * How a request ended, as the caller is told. [label] is the value of the outcome header.
 */
@Serializable
enum class Outcome(val label: String) {
    /** The caller has the whole answer. */
    COMPLETED("completed"),

    /** No target ran the request, nor will one. */
    NOT_RUN("not-run"),

    /** A target may have run the request; the answer is missing or incomplete. */
    MAY_HAVE_RUN("may-have-run"),

    /** An earlier request with the same idempotency key ran or is running. */
    ALREADY_RUN("already-run"),
}
