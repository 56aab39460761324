package org.cicadaarch.core

import org.cicadaarch.admission.AdmissionState
import org.cicadaarch.model.Revision
import org.cicadaarch.model.RouterView
import org.cicadaarch.request.IngressState

/**
 * Everything that a router knows, as the states of its roles.
 */
data class RouterState(
    val view: RouterView,
    val revision: Revision = Revision.NONE,
    val ingress: IngressState = IngressState(view = view),
    val admission: AdmissionState = AdmissionState(view = view, fleet = null),
)
