package org.cicadaarch.ledger

import kotlin.time.Duration
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.cicadaarch.model.RouterId

/**
 * Messages between the ingress of a request and the owner of its key's shard, about one [claim].
 */
@Serializable
sealed class LedgerMessage {
    /** The claim that the message is about. */
    abstract val claim: Claim

    /** Messages for the shard's owner. */
    @Serializable
    sealed class ForOwner : LedgerMessage()

    /** Messages for the ingress that holds the claim's request. */
    @Serializable
    sealed class ForIngress : LedgerMessage()

    /** Asks for [claim]; repeated until it is answered or [timeAllowed] is over. */
    @Serializable
    @SerialName("r")
    data class ClaimRequest(override val claim: Claim, val timeAllowed: Duration) : ForOwner()

    /** The request of a granted [claim] ended with [result]; [digest] identifies its answer. */
    @Serializable
    @SerialName("f")
    data class ClaimFinished(override val claim: Claim, val result: RunResult, val digest: String? = null) :
        ForOwner()

    /** No byte of the request of [claim] was offered to a target, nor will one be. */
    @Serializable
    @SerialName("a")
    data class ClaimAbandoned(override val claim: Claim) : ForOwner()

    /** Answers [ClaimInquiry]: the request of [claim] is still open. */
    @Serializable
    @SerialName("k")
    data class ClaimRunning(override val claim: Claim) : ForOwner()

    /** The store holds [claim]: its request may run. */
    @Serializable
    @SerialName("g")
    data class ClaimGranted(override val claim: Claim) : ForIngress()

    /** An earlier request holds the key of [claim]; its owner is finding out how that request stands. */
    @Serializable
    @SerialName("h")
    data class KeyHeld(override val claim: Claim) : ForIngress()

    /** The key of [claim] was used by an earlier request, of which [status] and [digest] are known. */
    @Serializable
    @SerialName("d")
    data class KeyUsed(
        override val claim: Claim,
        @SerialName("standing") val status: PriorRequestStatus,
        val digest: String? = null,
    ) : ForIngress()

    /** [claim] is not granted for [reason]. */
    @Serializable
    @SerialName("n")
    data class ClaimRefused(override val claim: Claim, val reason: ClaimRefusal) : ForIngress()

    /** The receiver of [claim] does not own the shard in its view; [owner] does. */
    @Serializable
    @SerialName("o")
    data class ClaimRedirected(override val claim: Claim, val owner: RouterId) : ForIngress()

    /** Asks how the request of [claim], which holds a key that is wanted again, stands. */
    @Serializable
    @SerialName("i")
    data class ClaimInquiry(override val claim: Claim) : ForIngress()

    /** The finish or abandonment of [claim] is in the store; it need not be reported again. */
    @Serializable
    @SerialName("w")
    data class ReportRecorded(override val claim: Claim) : ForIngress()
}
