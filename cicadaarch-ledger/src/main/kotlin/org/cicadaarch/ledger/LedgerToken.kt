package org.cicadaarch.ledger

/**
 * Identifies a store call of a [shard], so that its result can be matched to it. A shard has at most one outstanding
 * call.
 */
data class LedgerToken(val shard: Int, val callId: Long)
