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
 * An event that the ingress of one router handles.
 */
sealed class IngressEvent {
    /** A request arrived. It is authenticated and within the limits of its client account. */
    data class RequestReceived(val head: RequestHead) : IngressEvent()

    /** The ledger returned the [result] of the claim that [request] made. */
    data class ClaimAnswered(val request: RequestId, val result: ClaimResult) : IngressEvent()

    /** An admission owner replied to a permit request. */
    data class PermitAnswered(val message: AdmissionMessage) : IngressEvent()

    /** The first part of the target's response to [attempt] was forwarded to the client. */
    data class ResponseStarted(val attempt: AttemptId) : IngressEvent()

    /**
     * [delivered] events of the response stream have been forwarded to the client so far. Sent at intervals, not once
     * for each event of the stream.
     */
    data class Progressed(val attempt: AttemptId, val delivered: Int) : IngressEvent()

    /** The complete response to [attempt] was forwarded to the client. */
    data class AttemptCompleted(val attempt: AttemptId) : IngressEvent()

    /** [attempt] failed after [delivered] events of the response stream were forwarded to the client. */
    data class AttemptFailed(val attempt: AttemptId, val failure: AttemptFailure, val delivered: Int) : IngressEvent()

    /** The probe of the target of [attempt] ended; the target is [alive] if it responded. */
    data class ProbeAnswered(val attempt: AttemptId, val alive: Boolean) : IngressEvent()

    /** [attempt], which may be another router's, of a request with [fingerprint] lost its target's connection. */
    data class CrashReported(val fingerprint: Fingerprint, val attempt: AttemptId) : IngressEvent()

    /** The connection to [router] was lost or could not be established. */
    data class RouterUnreachable(val router: RouterId) : IngressEvent()

    /** The client closed its connection before the response was complete. */
    data class ClientDisconnected(val request: RequestId) : IngressEvent()

    /** The list of live routers changed. */
    data class RoutersChanged(val view: RouterView) : IngressEvent()

    /** A new configuration took effect. */
    data class FleetChanged(val fleet: FleetDocument) : IngressEvent()

    /** The periodic timer that drives timeouts and the renewal of permits. */
    data object Tick : IngressEvent()
}
