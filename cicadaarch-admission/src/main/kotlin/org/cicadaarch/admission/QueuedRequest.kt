package org.cicadaarch.admission

import org.cicadaarch.model.AccountId
import org.cicadaarch.model.AttemptId
import org.cicadaarch.model.RouterId
import org.cicadaarch.model.Timestamp

/**
 * A request that waits at its target's owner for a turn of [account]; its first byte is due at [deadline].
 * Until [redirectableAt] it is not sent to another target.
 */
data class QueuedRequest(
    val attempt: AttemptId,
    val ingress: RouterId,
    val account: AccountId,
    val demand: PermitDemand,
    val queuedAt: Timestamp,
    val deadline: Timestamp,
    val redirectableAt: Timestamp = queuedAt,
)
