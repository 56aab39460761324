package org.cicadaarch.dispatch.target

import kotlin.time.Duration
import org.cicadaarch.model.Timestamp

/**
 * The choice of [target] for an attempt. By what is known as of [loadKnownAt], it holds [load] requests, and no target
 * of its service should hold more than [loadBound]. A target that is still warming up does so for [warmUpRemaining].
 */
data class TargetSelection(
    val target: TargetState,
    val load: Double,
    val loadKnownAt: Timestamp?,
    val loadBound: Double,
    val warmUpRemaining: Duration? = null,
)
