package org.cicadaarch.admission

import org.cicadaarch.model.RouterId
import org.cicadaarch.model.RouterView
import org.cicadaarch.model.TargetId
import org.cicadaarch.model.fleet.FleetDocument

/**
 * An input of [AdmissionReducer].
 */
sealed class AdmissionEvent {
    /** [message] was received from the router [from]. */
    data class Received(val from: RouterId, val message: AdmissionMessage) : AdmissionEvent()

    /** The list of live routers changed, which can change the set of targets that this router owns. */
    data class RoutersChanged(val view: RouterView) : AdmissionEvent()

    /** A configuration took effect. */
    data class FleetChanged(val fleet: FleetDocument) : AdmissionEvent()

    /** [target] reported its load. The report describes an earlier moment. */
    data class LoadReported(val target: TargetId, val running: Int, val waiting: Int) : AdmissionEvent()

    /** The periodic tick that expires permits and checks queued requests. */
    data object Tick : AdmissionEvent()
}
