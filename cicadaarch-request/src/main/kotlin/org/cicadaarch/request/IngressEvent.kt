package org.cicadaarch.request

import org.cicadaarch.admission.AdmissionMessage
import org.cicadaarch.model.AttemptId
import org.cicadaarch.model.Fingerprint
import org.cicadaarch.model.RequestHead
import org.cicadaarch.model.RequestId
import org.cicadaarch.model.RouterId
import org.cicadaarch.model.RouterView
import org.cicadaarch.model.fleet.FleetDocument

/**
 * What happens to the open requests of one router.
 */
sealed class IngressEvent {
    /** A caller's request came, authenticated and within the account's limits. */
    data class Arrived(val head: RequestHead) : IngressEvent()

    /** The ledger answered the claim of [request]. */
    data class ClaimAnswered(val request: RequestId, val result: ClaimResult) : IngressEvent()

    /** An admission owner answered. */
    data class PermitAnswered(val message: AdmissionMessage) : IngressEvent()

    /** The target's answer to [attempt] began to reach the caller. */
    data class ResponseStarted(val attempt: AttemptId) : IngressEvent()

    /** The caller has [delivered] stream events of the answer so far. Sent at intervals, not for each event. */
    data class Progressed(val attempt: AttemptId, val delivered: Int) : IngressEvent()

    /** The caller has the whole answer. */
    data class AttemptCompleted(val attempt: AttemptId) : IngressEvent()

    /** [attempt] failed when the caller had [delivered] stream events. */
    data class AttemptFailed(val attempt: AttemptId, val failure: AttemptFailure, val delivered: Int) : IngressEvent()

    /** The probe of the target of [attempt] on a new connection ended. */
    data class ProbeAnswered(val attempt: AttemptId, val alive: Boolean) : IngressEvent()

    /** [attempt] of a request with [fingerprint], perhaps of another router, ended with its target's connection. */
    data class CrashReported(val fingerprint: Fingerprint, val attempt: AttemptId) : IngressEvent()

    /** The connection to [router] broke or could not be made. */
    data class RouterUnreachable(val router: RouterId) : IngressEvent()

    /** The caller closed its connection before it had the whole answer. */
    data class CallerGone(val request: RequestId) : IngressEvent()

    /** The list of live routers changed. */
    data class RoutersChanged(val view: RouterView) : IngressEvent()

    /** A configuration came into force. */
    data class FleetChanged(val fleet: FleetDocument) : IngressEvent()

    /** The periodic tick for timeouts and renewals. */
    data object Tick : IngressEvent()
}
