package org.cicadaarch.ledger

import org.cicadaarch.model.RequestId
import org.cicadaarch.model.RouterId

/**
 * What an ingress wants done about its keyed requests.
 */
sealed class ClaimantEffect {
    /** Sends [message] to the shard owner on router [to], which may be this router. */
    data class Send(val to: RouterId, val message: LedgerMessage.ForOwner) : ClaimantEffect()

    /** [request] may run now. Emitted at most once per request. */
    data class Granted(val request: RequestId) : ClaimantEffect()

    /** [request] will not run since its key was used before: `already-run`, with what is known of the earlier run. */
    data class KeyAlreadyUsed(val request: RequestId, val status: PriorRequestStatus, val digest: String?) :
        ClaimantEffect()

    /** [request] will not run, for [reason]: `not-run`. Its key stays usable for a resend. */
    data class Refused(val request: RequestId, val reason: ClaimRefusal) : ClaimantEffect()
}
