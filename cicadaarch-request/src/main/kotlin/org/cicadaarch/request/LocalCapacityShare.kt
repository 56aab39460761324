package org.cicadaarch.request

import kotlin.math.ceil
import org.cicadaarch.model.TargetId

/**
 * Decides whether this ingress may use a target without its owner's permit while the owner does not answer.
 *
 * Each router may run the target's capacity divided by the routers in its view, so that all routers together stay near
 * the target's bound.
 */
internal object LocalCapacityShare {
    fun hasRoom(state: IngressState, target: TargetId): Boolean {
        val capacity = state.fleet?.targets?.get(target)?.capacity ?: return false
        val routers = state.view.activeRouters.size.coerceAtLeast(1)
        return (state.runningWithoutPermit[target] ?: 0) < ceil(capacity.toDouble() / routers)
    }
}
