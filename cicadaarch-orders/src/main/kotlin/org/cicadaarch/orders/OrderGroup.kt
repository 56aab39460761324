package org.cicadaarch.orders

import org.cicadaarch.model.RegionName
import org.cicadaarch.model.RouterId
import org.cicadaarch.model.RouterView
import org.cicadaarch.model.ServiceName
import org.cicadaarch.model.TargetId
import org.cicadaarch.model.fleet.FleetDocument
import org.cicadaarch.model.fleet.ServiceKind
import org.cicadaarch.model.fleet.Target
import org.cicadaarch.placement.RendezvousHash

/**
 * The model engines of one service in one region. Only one router at a time, the holder, sends them orders.
 */
data class OrderGroup(val service: ServiceName, val region: RegionName) {
    /** The key in the store that is bound to the holder's lease. */
    val key: String get() = "orders/$service/$region"

    /** The engines of this group in [fleet]. */
    fun targetsIn(fleet: FleetDocument): Map<TargetId, Target> =
        fleet.targetsOf(service).filterValues { fleet.regionOf(it.zone) == region }

    /** The router that should hold the group in [view], or null when no router is active. */
    fun holderIn(view: RouterView): RouterId? =
        RendezvousHash.first(key = key, members = view.activeRouters, name = { it.id.value })?.id

    companion object {
        /** All groups of [fleet]'s model engines. */
        fun allIn(fleet: FleetDocument): Set<OrderGroup> = fleet.targets.values
            .filter { fleet.services[it.service]?.kind == ServiceKind.MODEL }
            .mapNotNull { target -> fleet.regionOf(target.zone)?.let { OrderGroup(target.service, it) } }
            .toSet()
    }
}
