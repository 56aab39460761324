package org.cicadaarch.admission

import kotlin.time.Duration
import kotlinx.serialization.Serializable
import org.cicadaarch.model.AttemptId
import org.cicadaarch.model.TargetId

/**
 * Messages between the ingress of a request and the admission owner of a target.
 */
@Serializable
sealed class AdmissionMessage {
    /** Ingress to owner: asks to run [attempt] on [target]. */
    @Serializable
    data class PermitRequest(val attempt: AttemptId, val target: TargetId, val demand: PermitDemand) :
        AdmissionMessage()

    /** Owner to ingress: [attempt] may run; the permit lapses after [lease] unless it is renewed. */
    @Serializable
    data class PermitGranted(val attempt: AttemptId, val target: TargetId, val lease: Duration) : AdmissionMessage()

    /** Owner to ingress: [attempt] waits in the target's queue, for about [expectedWait]. */
    @Serializable
    data class PermitQueued(val attempt: AttemptId, val target: TargetId, val expectedWait: Duration) :
        AdmissionMessage()

    /** Owner to ingress: [target] is at its bound; [hint] is where the chat was sent before, if known. */
    @Serializable
    data class PermitSpilled(val attempt: AttemptId, val target: TargetId, val hint: TargetId?) : AdmissionMessage()

    /** Owner to ingress: [attempt] will not run on [target]. */
    @Serializable
    data class PermitRefused(val attempt: AttemptId, val target: TargetId, val reason: PermitRefusal) :
        AdmissionMessage()

    /** Ingress to owner: [attempt] has ended or does not want its permit or place in the queue any more. */
    @Serializable
    data class PermitReleased(val attempt: AttemptId, val target: TargetId) : AdmissionMessage()

    /** Ingress to owner: renews the sender's permits on [target]; a new owner rebuilds its count from them. */
    @Serializable
    data class PermitsRenewed(val target: TargetId, val permits: List<HeldPermit>) : AdmissionMessage()
}
