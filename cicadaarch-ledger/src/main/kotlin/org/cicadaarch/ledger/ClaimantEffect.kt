package org.cicadaarch.ledger

import org.cicadaarch.model.RequestId
import org.cicadaarch.model.RouterId

/**
 * Effects of [ClaimantReducer], to be carried out by the ingress.
 */
sealed class ClaimantEffect {
    /** Sends [message] to the shard owner at router [to], which may be this router. */
    data class Send(val to: RouterId, val message: LedgerMessage.ForOwner) : ClaimantEffect()

    /** The claim is granted and [request] may run. Emitted at most once per request. */
    data class Granted(val request: RequestId) : ClaimantEffect()

    /**
     * [request] must not run because an earlier request used its key; the outcome is `already-run`. [status] and
     * [digest] tell what is known about the earlier request.
     */
    data class KeyAlreadyUsed(val request: RequestId, val status: PriorRequestStatus, val digest: String?) :
        ClaimantEffect()

    /** [request] must not run because of [reason]; the outcome is `not-run`, and the client may resend the key. */
    data class Refused(val request: RequestId, val reason: ClaimRefusal) : ClaimantEffect()
}
