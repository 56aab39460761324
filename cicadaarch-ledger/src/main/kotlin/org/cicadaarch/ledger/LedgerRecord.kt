package org.cicadaarch.ledger

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * One change of a shard, as written in its segments.
 */
@Serializable
sealed class LedgerRecord {
    /** The claim that changes. */
    abstract val claim: Claim

    /** [claim] holds its key; its writer knew the key to be free in the chain before this segment. */
    @Serializable
    @SerialName("c")
    data class Claimed(@SerialName("i") override val claim: Claim) : LedgerRecord()

    /** The request of [claim] ended with [result]; without effect unless [claim] holds its key. */
    @Serializable
    @SerialName("f")
    data class Finished(
        @SerialName("i") override val claim: Claim,
        @SerialName("r") val result: RunResult,
        @SerialName("d") val digest: String? = null,
    ) : LedgerRecord()

    /** [claim] never started and frees its key; without effect unless [claim] holds its key. */
    @Serializable
    @SerialName("a")
    data class Abandoned(@SerialName("i") override val claim: Claim) : LedgerRecord()
}
