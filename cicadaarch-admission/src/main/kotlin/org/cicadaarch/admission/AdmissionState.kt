package org.cicadaarch.admission

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.cicadaarch.model.RouterView
import org.cicadaarch.model.TargetId
import org.cicadaarch.model.fleet.FleetDocument

/**
 * The admission owners and load-mean aggregators of one router: [targets] that it owns, the [groupLoads] that it heard, and
 * the [aggregates] that it keeps.
 */
data class AdmissionState(
    val view: RouterView,
    val fleet: FleetDocument?,
    val targets: PersistentMap<TargetId, TargetState> = persistentMapOf(),
    val groupLoads: PersistentMap<LoadGroup, GroupLoad> = persistentMapOf(),
    val aggregates: PersistentMap<LoadGroup, GroupLoadTable> = persistentMapOf(),
    val owned: OwnedTargets? = null,
) {
    /** The permits granted and not ended on [target], as this router counts them. */
    fun inFlight(target: TargetId): Int = targets[target]?.permits?.size ?: 0

    /** The requests that wait here for [target]. */
    fun queued(target: TargetId): Int = targets[target]?.queue?.size ?: 0
}
