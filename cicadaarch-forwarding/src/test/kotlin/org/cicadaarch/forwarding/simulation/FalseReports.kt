package org.cicadaarch.forwarding.simulation

import org.cicadaarch.dispatch.capacity.RelativeTimes
import org.cicadaarch.dispatch.observation.ObservationReport
import org.cicadaarch.forwarding.peer.ObservedDispatch
import org.cicadaarch.model.TargetId

/** The dispatch of a router which reports that very many requests at [target] took very long. */
internal class FalseReports(private val dispatch: ObservedDispatch, private val target: TargetId) :
    ObservedDispatch by dispatch {
    override fun takeReport(): ObservationReport {
        val report = dispatch.takeReport()
        return report.copy(times = report.times + (target to RelativeTimes(samples = 1e6, total = 1e9)))
    }
}
