package org.cicadaarch.ledger

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * The state of a used key in a shard.
 */
@Serializable
sealed class LedgerEntry {
    /** When the entry was last changed, in whole seconds since the epoch by the clock of the router that wrote it. */
    abstract val changedAt: Long

    /** The claim with [nonce] holds the key, and the end of its request is not recorded. */
    @Serializable
    @SerialName("o")
    data class Open(@SerialName("n") val nonce: ClaimNonce, @SerialName("t") override val changedAt: Long) :
        LedgerEntry()

    /** The only request that ran with the key ended with [result]; [digest] identifies its response. */
    @Serializable
    @SerialName("f")
    data class Finished(
        @SerialName("r") val result: RunResult,
        @SerialName("t") override val changedAt: Long,
        @SerialName("d") val digest: String? = null,
    ) : LedgerEntry()
}
