package org.cicadaarch.admission

import kotlin.time.Duration
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.cicadaarch.model.AccountId
import org.cicadaarch.model.AttemptId
import org.cicadaarch.model.ChatId
import org.cicadaarch.model.TargetId

/**
 * Messages between the ingress of a request (the router that received it), the admission owner of a target and the
 * load aggregator of a group of targets. Serial names are short because they make up most of an encoded message.
 */
@Serializable
sealed class AdmissionMessage {
    /** Ingress to owner: asks for a permit to run [attempt] on [target]. */
    @Serializable
    @SerialName("r")
    data class PermitRequest(
        @SerialName("a") val attempt: AttemptId,
        @SerialName("t") val target: TargetId,
        @SerialName("d") val demand: PermitDemand,
    ) : AdmissionMessage()

    /** Owner to ingress: [attempt] may run. The permit expires after [lease] unless it is renewed. */
    @Serializable
    @SerialName("g")
    data class PermitGranted(
        @SerialName("a") val attempt: AttemptId,
        @SerialName("t") val target: TargetId,
        @SerialName("l") val lease: Duration,
    ) : AdmissionMessage()

    /** Owner to ingress: [attempt] was queued for [target] and is expected to wait for [expectedWait]. */
    @Serializable
    @SerialName("q")
    data class PermitQueued(
        @SerialName("a") val attempt: AttemptId,
        @SerialName("t") val target: TargetId,
        val expectedWait: Duration,
    ) : AdmissionMessage()

    /**
     * Owner to ingress: redirects [attempt] to another target. The ingress should try [hint] first: it has free slots
     * or, if [hintRanChat] is set, it ran the chat last. If [hasFreeSlots] is set, [target] itself has free slots, and
     * the ingress may ask for it again when [hint] has none.
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
     * Ingress to owner: [attempt] has ended, or no longer needs its permit or place in the queue.
     * [timeToFirstToken] is measured from the grant, and null when no token was received. A former owner that passes
     * the message on sets [forwarded], so that it is passed on only once.
     */
    @Serializable
    @SerialName("e")
    data class PermitReleased(
        @SerialName("a") val attempt: AttemptId,
        @SerialName("t") val target: TargetId,
        @SerialName("f") val timeToFirstToken: Duration? = null,
        val forwarded: Boolean = false,
    ) : AdmissionMessage()

    /** Ingress to owner: renews the sender's permits on [target]. A new owner takes over the permits that it lacks. */
    @Serializable
    @SerialName("k")
    data class PermitsRenewed(@SerialName("t") val target: TargetId, val permits: List<HeldPermit>) : AdmissionMessage()

    /** Ingress to the owner of [home]: the [chat] that [home] redirected was granted a permit on [placedOn]. */
    @Serializable
    @SerialName("p")
    data class ChatPlaced(val home: TargetId, val account: AccountId, val chat: ChatId, val placedOn: TargetId) :
        AdmissionMessage()

    /** Former owner to new owner: the unexpired permits on [target]. */
    @Serializable
    @SerialName("h")
    data class PermitsHandedOver(@SerialName("t") val target: TargetId, val permits: List<HandedOverPermit>) :
        AdmissionMessage()

    /** Owner to aggregator: the sender's request [counts] for its targets in [group]. */
    @Serializable
    @SerialName("c")
    data class TargetCountsReported(val group: LoadGroup, val counts: List<TargetCount>) : AdmissionMessage()

    /**
     * Aggregator to owner: [total] requests are in flight on the reported targets of [group], which have [capacity]
     * slots together. [targetsWithFreeSlots] are the few targets with the most free slots; empty when no slot is free.
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
