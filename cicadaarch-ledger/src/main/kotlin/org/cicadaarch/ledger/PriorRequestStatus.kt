package org.cicadaarch.ledger

import kotlinx.serialization.Serializable

/**
 * What is known of the earlier request that holds a key. Each standing means `already-run` for the caller's resend.
 */
@Serializable
enum class PriorRequestStatus {
    /** The earlier request is still open at its ingress. */
    RUNNING,

    /** The earlier request's caller was given the whole answer. */
    COMPLETED,

    /** The earlier request may have run; its answer is lost or its ingress is gone. */
    MAY_HAVE_RUN,
}
