package org.cicadaarch.admission

import kotlinx.serialization.Serializable
import org.cicadaarch.model.AttemptId

/**
 * A permit that an ingress holds, and the demand for which it was granted.
 */
@Serializable
data class HeldPermit(val attempt: AttemptId, val demand: PermitDemand)
