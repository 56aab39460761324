package org.cicadaarch.ledger

import kotlinx.serialization.Serializable
import org.cicadaarch.model.RequestId
import org.cicadaarch.model.RouterId

/**
 * Tells claims of the same key apart: the [request] that claims and the [ingress] that holds it. Never reused.
 */
@Serializable
data class ClaimNonce(val request: RequestId, val ingress: RouterId) {
    override fun toString(): String = "$request@$ingress"
}
