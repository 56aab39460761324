package org.cicadaarch.admission

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.cicadaarch.model.AttemptId
import org.cicadaarch.model.RouterView
import org.cicadaarch.model.TargetId
import org.cicadaarch.model.fleet.FleetDocument

/**
 * The admission owners of one router: the permits of each target that it owns.
 */
data class AdmissionState(
    val view: RouterView,
    val fleet: FleetDocument?,
    val permits: PersistentMap<TargetId, PersistentMap<AttemptId, Permit>> = persistentMapOf(),
)
