package org.cicadaarch.ledger

/**
 * What a shard's owner tells the operators.
 */
sealed class LedgerNotice {
    /** The shard of the notice. */
    abstract val shard: Int

    /** The shard was read from the store: [entries] keys, the last segment being [lastSequence]. */
    data class ShardLoaded(override val shard: Int, val entries: Int, val lastSequence: Long) : LedgerNotice()

    /** Another router wrote segment [sequence] first; its records were read and the batch goes into the next one. */
    data class SegmentContended(override val shard: Int, val sequence: Long) : LedgerNotice()

    /** A store call failed for [reason] and is repeated. */
    data class StoreFailed(override val shard: Int, val reason: String) : LedgerNotice()

    /** The value of [key] cannot be read; the shard grants nothing until it can. */
    data class ValueMalformed(override val shard: Int, val key: String) : LedgerNotice()

    /** The shard holds its maximum of keys and refuses new claims. */
    data class ShardFull(override val shard: Int) : LedgerNotice()
}
