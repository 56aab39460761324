package org.cicadaarch.ledger

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * How a key stands in a shard.
 */
@Serializable
sealed class LedgerEntry {
    /** When the entry was last changed, in coarse seconds since the epoch by the writer's clock. */
    abstract val changedAt: Long

    /** The request of [nonce] holds the key and has not reported an end. */
    @Serializable
    @SerialName("o")
    data class Open(@SerialName("n") val nonce: ClaimNonce, @SerialName("t") override val changedAt: Long) :
        LedgerEntry()

    /** The key's one run ended with [result]. */
    @Serializable
    @SerialName("f")
    data class Finished(
        @SerialName("r") val result: RunResult,
        @SerialName("t") override val changedAt: Long,
        @SerialName("d") val digest: String? = null,
    ) : LedgerEntry()
}
