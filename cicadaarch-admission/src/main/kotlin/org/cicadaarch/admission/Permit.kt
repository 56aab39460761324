package org.cicadaarch.admission

import org.cicadaarch.model.RouterId
import org.cicadaarch.model.Timestamp

/**
 * A granted permit, held by the ingress on router [holder] until [expiresAt]. [grantedAt] is null when a previous owner
 * granted it.
 */
data class Permit(
    val holder: RouterId,
    val demand: PermitDemand,
    val expiresAt: Timestamp,
    val grantedAt: Timestamp? = null,
)
