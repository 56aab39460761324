package org.cicadaarch.admission

import org.cicadaarch.model.RouterId
import org.cicadaarch.model.RouterView
import org.cicadaarch.placement.RendezvousHash

/**
 * Assigns the load aggregator of each group to a live router of the group's region by rendezvous hashing.
 */
object LoadAggregation {
    private const val KEY_PREFIX = "load/"

    /**
     * The aggregator of [group] in [view]: a router of another region if the group's region has no active router, or
     * null if [view] has none at all.
     */
    fun aggregatorOf(group: LoadGroup, view: RouterView): RouterId? = RendezvousHash.first(
        key = "$KEY_PREFIX${group.service}/${group.region}",
        members = view.activeRouters.filter { it.region == group.region }.ifEmpty { view.activeRouters },
        name = { it.id.value },
    )?.id
}
