package org.cicadaarch.admission

import org.cicadaarch.model.RouterId
import org.cicadaarch.model.RouterView
import org.cicadaarch.model.TargetId
import org.cicadaarch.model.fleet.FleetDocument

/**
 * What happens to the admission owners of one router.
 */
sealed class AdmissionEvent {
    /** [message] came from the ingress on router [from]. */
    data class Received(val from: RouterId, val message: AdmissionMessage) : AdmissionEvent()

    /** The list of live routers changed, and with it perhaps the targets that this router owns. */
    data class RoutersChanged(val view: RouterView) : AdmissionEvent()

    /** A configuration came into force. */
    data class FleetChanged(val fleet: FleetDocument) : AdmissionEvent()

    /** [target] reported its load, some time ago. */
    data class LoadReported(val target: TargetId, val running: Int, val waiting: Int) : AdmissionEvent()

    /** The periodic tick for lapsed permits and queued requests. */
    data object Tick : AdmissionEvent()
}
