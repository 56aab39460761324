package org.cicadaarch.admission

import kotlinx.serialization.Serializable
import org.cicadaarch.model.AttemptId

/**
 * A permit that an ingress holds, with the demand that it was granted for.
 */
@Serializable
data class HeldPermit(val attempt: AttemptId, val demand: PermitDemand)
