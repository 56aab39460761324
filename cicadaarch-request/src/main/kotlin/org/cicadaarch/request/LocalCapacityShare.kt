package org.cicadaarch.request

import kotlin.math.ceil
import org.cicadaarch.model.TargetId

/**
 * The part of a target's capacity that one ingress may use without permits while the admission owner is unreachable.
 *
 * Each router may run the target's capacity divided by the number of routers in its view, rounded up, so that all
 * routers together stay close to the capacity.
 */
internal object LocalCapacityShare {
    /** Whether another attempt may start on [target] without a permit. */
    fun hasRoom(state: IngressState, target: TargetId): Boolean {
        val capacity = state.fleet?.targets?.get(target)?.capacity ?: return false
        val routers = state.view.activeRouters.size.coerceAtLeast(1)
        return (state.inFlightWithoutPermit[target] ?: 0) < ceil(capacity.toDouble() / routers)
    }
}
