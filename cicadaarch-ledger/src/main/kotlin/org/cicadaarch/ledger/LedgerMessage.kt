package org.cicadaarch.ledger

import kotlin.time.Duration
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.cicadaarch.model.RouterId

/**
 * Messages about one [claim] between the ingress of its request and the owner of its shard.
 */
@Serializable
sealed class LedgerMessage {
    /** The claim that the message is about. */
    abstract val claim: Claim

    /** Messages to the shard owner. */
    @Serializable
    sealed class ForOwner : LedgerMessage()

    /** Messages to the ingress of the claim's request. */
    @Serializable
    sealed class ForIngress : LedgerMessage()

    /** Requests [claim]; resent until a response arrives or [timeAllowed] has passed. */
    @Serializable
    @SerialName("r")
    data class ClaimRequest(override val claim: Claim, val timeAllowed: Duration) : ForOwner()

    /** Reports that the request of a granted [claim] ended with [result]; [digest] identifies its response. */
    @Serializable
    @SerialName("f")
    data class ClaimFinished(override val claim: Claim, val result: RunResult, val digest: String? = null) :
        ForOwner()

    /** Reports that no byte of the request of [claim] was or will be sent to a target, so that the key can be freed. */
    @Serializable
    @SerialName("a")
    data class ClaimAbandoned(override val claim: Claim) : ForOwner()

    /** Replies to [ClaimInquiry] that the request of [claim] is still in progress. */
    @Serializable
    @SerialName("k")
    data class ClaimRunning(override val claim: Claim) : ForOwner()

    /** [claim] is recorded in the store, so its request may run. */
    @Serializable
    @SerialName("g")
    data class ClaimGranted(override val claim: Claim) : ForIngress()

    /** An earlier request holds the key of [claim]; the shard owner is checking whether it is still in progress. */
    @Serializable
    @SerialName("h")
    data class KeyHeld(override val claim: Claim) : ForIngress()

    /** The key of [claim] was used by an earlier request; [status] and [digest] tell what is known about it. */
    @Serializable
    @SerialName("d")
    data class KeyUsed(
        override val claim: Claim,
        @SerialName("standing") val status: PriorRequestStatus,
        val digest: String? = null,
    ) : ForIngress()

    /** [claim] is not granted because of [reason]. */
    @Serializable
    @SerialName("n")
    data class ClaimRefused(override val claim: Claim, val reason: ClaimRefusal) : ForIngress()

    /** The sender of this message does not own the shard of [claim]; according to its view, [owner] does. */
    @Serializable
    @SerialName("o")
    data class ClaimRedirected(override val claim: Claim, val owner: RouterId) : ForIngress()

    /** Asks whether the request of [claim], which holds a key that another request wants, is still in progress. */
    @Serializable
    @SerialName("i")
    data class ClaimInquiry(override val claim: Claim) : ForIngress()

    /** The end or abandonment of [claim] is recorded in the store and need not be reported again. */
    @Serializable
    @SerialName("w")
    data class ReportRecorded(override val claim: Claim) : ForIngress()
}
