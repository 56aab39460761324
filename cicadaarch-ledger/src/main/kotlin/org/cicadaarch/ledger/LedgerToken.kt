package org.cicadaarch.ledger

/**
 * Names one store call of a [shard]; the answer event repeats it. A shard has at most one call outstanding.
 */
data class LedgerToken(val shard: Int, val callId: Long)
