package org.cicadaarch.admission

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.cicadaarch.model.RouterView
import org.cicadaarch.model.TargetId
import org.cicadaarch.model.fleet.FleetDocument

/**
 * The state of [AdmissionReducer]: the [targets] that this router owns, the [groupLoads] received from load
 * aggregators, and the [aggregates] of the groups for which this router is the load aggregator.
 */
data class AdmissionState(
    val view: RouterView,
    val fleet: FleetDocument?,
    val targets: PersistentMap<TargetId, TargetAdmissionState> = persistentMapOf(),
    val groupLoads: PersistentMap<LoadGroup, GroupLoad> = persistentMapOf(),
    val aggregates: PersistentMap<LoadGroup, GroupLoadTable> = persistentMapOf(),
    val owned: OwnedTargets? = null,
) {
    /** The number of permits on [target] that this router has granted or taken over and that have not ended. */
    fun inFlight(target: TargetId): Int = targets[target]?.permits?.size ?: 0

    /** The number of requests queued here for [target]. */
    fun queued(target: TargetId): Int = targets[target]?.queue?.size ?: 0
}
