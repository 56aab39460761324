package org.cicadaarch.forwarding.peer

import org.cicadaarch.dispatch.observation.ObservationReport
import org.cicadaarch.dispatch.observation.ObservationSummary
import org.cicadaarch.dispatch.target.TargetEntry

/**
 * The dispatch of this router, as far as routers tell each other of it.
 */
internal interface ObservedDispatch {
    /** The targets that this router knows. */
    val targetEntries: List<TargetEntry>

    /** Returns what was observed since the last call. */
    fun takeReport(): ObservationReport

    /** Uses what the fleet observes from now on. */
    fun apply(summary: ObservationSummary)
}
