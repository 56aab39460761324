package org.cicadaarch.admission

import kotlinx.serialization.Serializable
import org.cicadaarch.model.RouterId

/**
 * A permit that a previous owner granted to the ingress on router [holder].
 */
@Serializable
data class HandedOverPermit(val holder: RouterId, val permit: HeldPermit)
