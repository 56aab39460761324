package org.cicadaarch.admission

import org.cicadaarch.model.RouterId

/**
 * An action that [AdmissionReducer] requests.
 */
sealed class AdmissionEffect {
    /** Sends [message] to the router [to], which may be this router. */
    data class Send(val to: RouterId, val message: AdmissionMessage) : AdmissionEffect()
}
