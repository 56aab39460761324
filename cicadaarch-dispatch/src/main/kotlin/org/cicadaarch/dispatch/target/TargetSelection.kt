package org.cicadaarch.dispatch.target

/**
 * The choice of [target] for an attempt. By what is known, it holds [load] requests, and no target of its service should
 * hold more than [loadBound].
 */
data class TargetSelection(val target: TargetState, val load: Double, val loadBound: Double)
