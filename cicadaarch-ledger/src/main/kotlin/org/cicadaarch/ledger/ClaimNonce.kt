package org.cicadaarch.ledger

import kotlinx.serialization.Serializable
import org.cicadaarch.model.RequestId
import org.cicadaarch.model.RouterId

/**
 * Identifies one claim among the claims of the same key, by the claiming [request] and the [ingress] router that
 * received it. A nonce is never reused.
 */
@Serializable
data class ClaimNonce(val request: RequestId, val ingress: RouterId) {
    override fun toString(): String = "$request@$ingress"
}
