package org.cicadaarch.dispatch.target

/**
 * The choice of [target] for an attempt. By what is known, no target of its service should hold more than [loadBound]
 * requests.
 */
data class TargetSelection(val target: TargetState, val loadBound: Double)
