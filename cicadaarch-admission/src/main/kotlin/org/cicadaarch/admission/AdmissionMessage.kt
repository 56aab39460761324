package org.cicadaarch.admission

import kotlin.time.Duration
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.cicadaarch.model.AccountId
import org.cicadaarch.model.AttemptId
import org.cicadaarch.model.ChatId
import org.cicadaarch.model.TargetId

/**
 * Messages between the ingress of a request, the admission owner of a target and the load-mean aggregator. Names are
 * short on the wire, where they make up most of a message.
 */
@Serializable
sealed class AdmissionMessage {
    /** Ingress to owner: asks to run [attempt] on [target]. */
    @Serializable
    @SerialName("r")
    data class PermitRequest(
        @SerialName("a") val attempt: AttemptId,
        @SerialName("t") val target: TargetId,
        @SerialName("d") val demand: PermitDemand,
    ) : AdmissionMessage()

    /** Owner to ingress: [attempt] may run; the permit lapses after [lease] unless it is renewed. */
    @Serializable
    @SerialName("g")
    data class PermitGranted(
        @SerialName("a") val attempt: AttemptId,
        @SerialName("t") val target: TargetId,
        @SerialName("l") val lease: Duration,
    ) : AdmissionMessage()

    /** Owner to ingress: [attempt] waits in the target's queue, for about [expectedWait]. */
    @Serializable
    @SerialName("q")
    data class PermitQueued(
        @SerialName("a") val attempt: AttemptId,
        @SerialName("t") val target: TargetId,
        val expectedWait: Duration,
    ) : AdmissionMessage()

    /**
     * Owner to ingress: redirects [attempt] to another target, if possible to [hint], which has free slots or, with
     * [hintRanChat], ran the chat last. With [hasFreeSlots], [target] itself has free slots: the ingress may ask for it
     * again if [hint] has none.
     */
    @Serializable
    @SerialName("s")
    data class PermitRedirected(
        @SerialName("a") val attempt: AttemptId,
        @SerialName("t") val target: TargetId,
        val hint: TargetId?,
        @SerialName("roomLeft") val hasFreeSlots: Boolean = false,
        val hintRanChat: Boolean = false,
    ) : AdmissionMessage()

    /** Owner to ingress: [attempt] will not run on [target]. */
    @Serializable
    @SerialName("n")
    data class PermitRefused(
        @SerialName("a") val attempt: AttemptId,
        @SerialName("t") val target: TargetId,
        val reason: PermitRefusal,
    ) : AdmissionMessage()

    /**
     * Ingress to owner: [attempt] has ended or does not want its permit or place in the queue any more.
     * [timeToFirstToken] is counted from the grant; null when no token came. A former owner sets [forwarded].
     */
    @Serializable
    @SerialName("e")
    data class PermitReleased(
        @SerialName("a") val attempt: AttemptId,
        @SerialName("t") val target: TargetId,
        @SerialName("f") val timeToFirstToken: Duration? = null,
        val forwarded: Boolean = false,
    ) : AdmissionMessage()

    /** Ingress to owner: renews the sender's permits on [target]; a new owner rebuilds its count from them. */
    @Serializable
    @SerialName("k")
    data class PermitsRenewed(@SerialName("t") val target: TargetId, val permits: List<HeldPermit>) : AdmissionMessage()

    /** Ingress to the owner of [home]: the chat that [home] spilled was granted a permit on [placedOn]. */
    @Serializable
    @SerialName("p")
    data class ChatPlaced(val home: TargetId, val account: AccountId, val chat: ChatId, val placedOn: TargetId) :
        AdmissionMessage()

    /** Former owner to new owner: the permits that stand on [target]. */
    @Serializable
    @SerialName("h")
    data class PermitsHandedOver(@SerialName("t") val target: TargetId, val permits: List<HandedOverPermit>) :
        AdmissionMessage()

    /** Owner to aggregator: the sender's [counts] of its targets in [group]. */
    @Serializable
    @SerialName("c")
    data class TargetCountsReported(val group: LoadGroup, val counts: List<TargetCount>) : AdmissionMessage()

    /**
     * Aggregator to owner: [total] requests are in flight on the counted targets, whose capacity is [capacity];
     * [targetsWithFreeSlots] have most free slots.
     */
    @Serializable
    @SerialName("t")
    data class GroupLoadReported(
        val group: LoadGroup,
        val total: Int,
        val capacity: Int,
        @SerialName("roomy") val targetsWithFreeSlots: List<TargetId> = emptyList(),
    ) : AdmissionMessage()
}
