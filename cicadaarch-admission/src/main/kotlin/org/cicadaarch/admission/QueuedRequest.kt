package org.cicadaarch.admission

import org.cicadaarch.model.AccountId
import org.cicadaarch.model.AttemptId
import org.cicadaarch.model.RouterId
import org.cicadaarch.model.Timestamp

/**
 * A request that is queued at its target's owner under [account]. The first byte of its response is due at [deadline].
 * It is not redirected to another target before [redirectableAt].
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
