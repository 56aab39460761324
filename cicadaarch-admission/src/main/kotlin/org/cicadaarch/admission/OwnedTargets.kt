package org.cicadaarch.admission

import org.cicadaarch.model.RegionName
import org.cicadaarch.model.RouterView
import org.cicadaarch.model.TargetId
import org.cicadaarch.model.fleet.FleetDocument
import org.cicadaarch.model.fleet.Target

/**
 * The [targets] that a router owns according to [view] and [fleet], and the sizes of all load [groups]. Cached, so that
 * they are not computed for each request.
 */
data class OwnedTargets(
    val view: RouterView,
    val fleet: FleetDocument?,
    val targets: Set<TargetId>,
    val groups: Map<LoadGroup, GroupSize>,
) {
    /** Whether this was computed from the same instances of [view] and [fleet]. */
    fun isComputedFrom(view: RouterView, fleet: FleetDocument?): Boolean = this.view === view && this.fleet === fleet

    /** The number of [targets] of a group that accept new requests, and their total [capacity]. */
    data class GroupSize(val targets: Int, val capacity: Int)

    companion object {
        /** Computes the targets that the router of [view] owns. */
        fun of(view: RouterView, fleet: FleetDocument?): OwnedTargets = OwnedTargets(
            view = view,
            fleet = fleet,
            targets = fleet?.targets?.keys.orEmpty().filter { TargetOwnership.ownerOf(it, view) == view.self }.toSet(),
            groups = fleet?.let(::groupSizes).orEmpty(),
        )

        /** The group of [target]. An availability zone that no region lists counts as a region of its own. */
        fun groupOf(target: Target, fleet: FleetDocument): LoadGroup = LoadGroup(
            service = target.service,
            region = fleet.regionOf(target.zone) ?: RegionName(target.zone.value),
        )

        private fun groupSizes(fleet: FleetDocument): Map<LoadGroup, GroupSize> = fleet.targets.values
            .filterNot { it.leaving }
            .groupBy { groupOf(it, fleet) }
            .mapValues { (_, targets) -> GroupSize(targets.size, targets.sumOf { it.capacity }) }
    }
}
