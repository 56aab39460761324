package org.cicadaarch.ledger

import kotlinx.serialization.Serializable

/**
 * What is known about the earlier request that used a key. For the resent request, each value leads to the outcome
 * `already-run`.
 */
@Serializable
enum class PriorRequestStatus {
    /** The earlier request is still in progress at its ingress. */
    RUNNING,

    /** The client of the earlier request received the complete response. */
    COMPLETED,

    /** The earlier request may have run; its response was lost, or its ingress no longer responds. */
    MAY_HAVE_RUN,
}
