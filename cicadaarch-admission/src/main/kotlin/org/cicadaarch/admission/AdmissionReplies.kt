package org.cicadaarch.admission

import kotlin.time.Duration
import org.cicadaarch.admission.AdmissionMessage.PermitGranted
import org.cicadaarch.admission.AdmissionMessage.PermitQueued
import org.cicadaarch.admission.AdmissionMessage.PermitRedirected
import org.cicadaarch.admission.AdmissionMessage.PermitRefused
import org.cicadaarch.model.AttemptId
import org.cicadaarch.model.RouterId

/**
 * The replies of a target's owner to ingresses.
 */
internal object AdmissionReplies {
    /** Tells [to] that [attempt] has a permit of the target in [context] for [lease]. */
    fun granted(to: RouterId, attempt: AttemptId, context: TargetContext, lease: Duration) =
        send(to, PermitGranted(attempt, context.id, lease))

    /** Tells [to] that [attempt] is queued and how long it is expected to wait. */
    fun queued(to: RouterId, attempt: AttemptId, context: TargetContext, expectedWait: Duration) =
        send(to, PermitQueued(attempt, context.id, expectedWait))

    /** Sends [redirect] to [to]. */
    fun redirected(to: RouterId, redirect: PermitRedirected) = send(to, redirect)

    /** Tells [to] that the target in [context] takes no more requests. */
    fun targetGone(to: RouterId, attempt: AttemptId, context: TargetContext) =
        send(to, PermitRefused(attempt, context.id, PermitRefusal.TARGET_GONE))

    /** Refuses [request] for [reason]. */
    fun refused(request: QueuedRequest, context: TargetContext, reason: PermitRefusal) =
        send(request.ingress, PermitRefused(request.attempt, context.id, reason))

    private fun send(to: RouterId, message: AdmissionMessage) = AdmissionEffect.Send(to, message)
}
