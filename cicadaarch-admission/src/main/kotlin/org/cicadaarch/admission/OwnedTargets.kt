package org.cicadaarch.admission

import org.cicadaarch.model.RegionName
import org.cicadaarch.model.RouterView
import org.cicadaarch.model.TargetId
import org.cicadaarch.model.fleet.FleetDocument
import org.cicadaarch.model.fleet.Target

/**
 * The [targets] that a router owns by [view] and [fleet], and the sizes of the load [groups]; kept so that neither is
 * computed for each request.
 */
data class OwnedTargets(
    val view: RouterView,
    val fleet: FleetDocument?,
    val targets: Set<TargetId>,
    val groups: Map<LoadGroup, GroupSize>,
) {
    /** Whether this was computed from the very same [view] and [fleet]. */
    fun isComputedFrom(view: RouterView, fleet: FleetDocument?): Boolean = this.view === view && this.fleet === fleet

    /** The number of [targets] of a group that take new work, and their [capacity] together. */
    data class GroupSize(val targets: Int, val capacity: Int)

    companion object {
        /** Computes the targets that the view's own router owns. */
        fun of(view: RouterView, fleet: FleetDocument?): OwnedTargets = OwnedTargets(
            view = view,
            fleet = fleet,
            targets = fleet?.targets?.keys.orEmpty().filter { TargetOwnership.ownerOf(it, view) == view.self }.toSet(),
            groups = fleet?.let(::groupSizes).orEmpty(),
        )

        /** The group of [target]; a zone that no region lists is a region of its own. */
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
