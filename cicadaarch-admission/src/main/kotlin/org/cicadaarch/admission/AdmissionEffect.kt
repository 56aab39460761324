package org.cicadaarch.admission

import org.cicadaarch.model.RouterId

/**
 * What the admission owners of one router want done.
 */
sealed class AdmissionEffect {
    /** Sends [message] to the ingress on router [to], which may be this router. */
    data class Send(val to: RouterId, val message: AdmissionMessage) : AdmissionEffect()
}
