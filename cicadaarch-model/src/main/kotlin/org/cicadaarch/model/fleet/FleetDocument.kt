package org.cicadaarch.model.fleet

import kotlinx.serialization.Serializable
import org.cicadaarch.model.AccountId
import org.cicadaarch.model.PresetName
import org.cicadaarch.model.RegionName
import org.cicadaarch.model.ServiceName
import org.cicadaarch.model.TargetId
import org.cicadaarch.model.ZoneName

/**
 * The configuration of the whole fleet, written by operators. One document is in effect at a time, identified by its
 * revision in the store.
 */
@Serializable
data class FleetDocument(
    val regions: Map<RegionName, List<ZoneName>>,
    val accounts: Map<AccountId, Account>,
    val services: Map<ServiceName, Service>,
    val targets: Map<TargetId, Target>,
    val presets: Map<PresetName, Preset>,
    val activePreset: PresetName,
) {
    /** The active preset. */
    val preset: Preset get() = presets.getValue(activePreset)

    /** The targets of [service] by id, in the document's order. */
    fun targetsOf(service: ServiceName): Map<TargetId, Target> = targets.filterValues { it.service == service }

    /** The region of [zone], or null when no region lists it. */
    fun regionOf(zone: ZoneName): RegionName? = regions.entries.firstOrNull { zone in it.value }?.key
}
