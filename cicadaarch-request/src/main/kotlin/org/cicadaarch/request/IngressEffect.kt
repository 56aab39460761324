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
 * What the ingress of one router wants done.
 */
sealed class IngressEffect {
    /** Sends [message] to the admission owner on router [to], which may be this router. */
    data class SendToOwner(val to: RouterId, val message: AdmissionMessage) : IngressEffect()

    /** Claims the idempotency key of [head] in the ledger. */
    data class Claim(val head: RequestHead) : IngressEffect()

    /** Records in the ledger how the claimed request of [head] ended. */
    data class FinishClaim(val head: RequestHead, val outcome: Outcome) : IngressEffect()

    /** Offers the request to [target]; a stream resumes after its first [resumeAfter] events. */
    data class StartAttempt(val attempt: AttemptId, val target: TargetId, val resumeAfter: Int) : IngressEffect()

    /** Gives up [attempt]: its connection is closed and nothing more of it reaches the caller. */
    data class CancelAttempt(val attempt: AttemptId) : IngressEffect()

    /** Opens a new connection to [target] to learn whether it is alive. */
    data class ProbeTarget(val attempt: AttemptId, val target: TargetId) : IngressEffect()

    /** Tells all other routers that [attempt] of a request with [fingerprint] ended with its target's connection. */
    data class ReportCrash(val fingerprint: Fingerprint, val attempt: AttemptId) : IngressEffect()

    /** The request ended. The caller is told [outcome], and [reason] unless the answer is whole. */
    data class EndRequest(val request: RequestId, val outcome: Outcome, val reason: RefusalReason?) : IngressEffect()
}
