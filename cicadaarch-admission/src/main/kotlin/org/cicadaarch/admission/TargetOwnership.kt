package org.cicadaarch.admission

import org.cicadaarch.model.RouterId
import org.cicadaarch.model.RouterView
import org.cicadaarch.model.TargetId
import org.cicadaarch.placement.RendezvousHash

/**
 * Assigns the admission owner of each target to a live router by rendezvous hashing.
 */
object TargetOwnership {
    private const val KEY_PREFIX = "admission/"

    /** The router that owns [target] in [view], or null if [view] has no active router. */
    fun ownerOf(target: TargetId, view: RouterView): RouterId? = RendezvousHash.first(
        key = KEY_PREFIX + target.value,
        members = view.activeRouters,
        name = { it.id.value },
    )?.id
}
