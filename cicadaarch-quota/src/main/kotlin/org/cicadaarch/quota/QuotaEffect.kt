package org.cicadaarch.quota

import org.cicadaarch.model.RouterId

/**
 * An action that [QuotaReducer] requests.
 */
sealed class QuotaEffect {
    /** Sends [message] to the router [to], which may be this router. */
    data class Send(val to: RouterId, val message: QuotaMessage) : QuotaEffect()
}
