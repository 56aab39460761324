package org.cicadaarch.admission

import kotlinx.serialization.Serializable
import org.cicadaarch.model.RegionName
import org.cicadaarch.model.ServiceName

/**
 * The targets over which a mean load is taken: those of [service] in [region].
 */
@Serializable
data class LoadGroup(val service: ServiceName, val region: RegionName)
