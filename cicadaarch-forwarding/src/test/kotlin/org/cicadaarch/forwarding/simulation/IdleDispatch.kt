package org.cicadaarch.forwarding.simulation

import org.cicadaarch.dispatch.observation.ObservationReport
import org.cicadaarch.dispatch.observation.ObservationSummary
import org.cicadaarch.dispatch.target.TargetEntry
import org.cicadaarch.forwarding.peer.ObservedDispatch

/** The dispatch of a router that serves no requests. */
internal object IdleDispatch : ObservedDispatch {
    override val targetEntries = emptyList<TargetEntry>()

    override fun takeReport() = ObservationReport()

    override fun apply(summary: ObservationSummary) = Unit
}
