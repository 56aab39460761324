package org.cicadaarch.experiment.processes

import org.cicadaarch.experiment.demonstration.CallerAnswer

/**
 * One send of a request and what came of it. It [isExcused] when its router was killed or paused while it was open.
 */
internal data class Send(val answer: CallerAnswer, val isExcused: Boolean) {
    /** Whether the request reached a router that never told how it ended. */
    val isBroken: Boolean get() = answer.isSent && answer.outcome == null
}
