package org.cicadaarch.dispatch.warmup

import org.cicadaarch.dispatch.request.DispatchState
import org.cicadaarch.model.ServiceName
import org.cicadaarch.model.Timestamp

/**
 * The targets that are warming up, for operators.
 */
object WarmingTargets {
    /** Their number at [now], for each service in [state] that limits what such targets get. */
    fun countByService(state: DispatchState, now: Timestamp): Map<ServiceName, Int> {
        val limited = state.services.filterValues { it.warmUp != null }.keys
        val warming = state.targets.values.filter { it.warmUp?.isActive(now) == true }
        return limited.associateWith { service -> warming.count { it.entry.service == service } }
    }
}
