package org.cicadaarch.request

import org.cicadaarch.admission.AdmissionMessage
import org.cicadaarch.model.AttemptId
import org.cicadaarch.model.Fingerprint
import org.cicadaarch.model.Outcome
import org.cicadaarch.model.RequestHead
import org.cicadaarch.model.RequestId
import org.cicadaarch.model.RouterId
import org.cicadaarch.model.TargetId

/**
 * A side effect that the ingress of one router asks for.
 */
sealed class IngressEffect {
    /** Sends [message] to an admission owner on router [to], which may be this router. */
    data class SendToOwner(val to: RouterId, val message: AdmissionMessage) : IngressEffect()

    /** Claims the idempotency key of the request [head] in the ledger. */
    data class Claim(val head: RequestHead) : IngressEffect()

    /** Records in the ledger that the request [head], which claimed its idempotency key, ended with [outcome]. */
    data class FinishClaim(val head: RequestHead, val outcome: Outcome) : IngressEffect()

    /** Sends the request to [target]. A stream starts after its first [resumeAfter] events, which the client has. */
    data class StartAttempt(val attempt: AttemptId, val target: TargetId, val resumeAfter: Int) : IngressEffect()

    /** Cancels [attempt]: closes its connection and forwards no more of its response to the client. */
    data class CancelAttempt(val attempt: AttemptId) : IngressEffect()

    /** Probes [target], on which [attempt] is running, over a new connection. */
    data class ProbeTarget(val attempt: AttemptId, val target: TargetId) : IngressEffect()

    /** Reports to all other routers that [attempt], of a request with [fingerprint], lost its target's connection. */
    data class ReportCrash(val fingerprint: Fingerprint, val attempt: AttemptId) : IngressEffect()

    /** Ends the request and reports [outcome] to the client. [reason] is null only when the response was complete. */
    data class EndRequest(val request: RequestId, val outcome: Outcome, val reason: RefusalReason?) : IngressEffect()
}
