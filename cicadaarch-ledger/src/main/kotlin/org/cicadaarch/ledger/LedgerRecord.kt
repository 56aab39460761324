package org.cicadaarch.ledger

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * One change to a shard, as written to a segment.
 */
@Serializable
sealed class LedgerRecord {
    /** The claim that the record changes. */
    abstract val claim: Claim

    /** [claim] takes its key. The writer has checked that the key is free after all preceding records. */
    @Serializable
    @SerialName("c")
    data class Claimed(@SerialName("i") override val claim: Claim) : LedgerRecord()

    /** The request of [claim] ended with [result]; has no effect unless [claim] holds its key. */
    @Serializable
    @SerialName("f")
    data class Finished(
        @SerialName("i") override val claim: Claim,
        @SerialName("r") val result: RunResult,
        @SerialName("d") val digest: String? = null,
    ) : LedgerRecord()

    /** The request of [claim] did not run, so the key becomes free; has no effect unless [claim] holds its key. */
    @Serializable
    @SerialName("a")
    data class Abandoned(@SerialName("i") override val claim: Claim) : LedgerRecord()
}
