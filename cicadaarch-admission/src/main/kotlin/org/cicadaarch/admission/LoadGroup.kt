package org.cicadaarch.admission

import kotlinx.serialization.Serializable
import org.cicadaarch.model.RegionName
import org.cicadaarch.model.ServiceName

/**
 * The targets whose mean load bounds the load of each of them: those of [service] in [region].
 */
@Serializable
data class LoadGroup(val service: ServiceName, val region: RegionName)
