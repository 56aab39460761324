package org.cicadaarch.ledger

/**
 * Log events of a shard's owner.
 */
sealed class LedgerNotice {
    /** The number of the shard. */
    abstract val shard: Int

    /** The shard was loaded from the store, with [entries] keys and segments up to [lastSequence]. */
    data class ShardLoaded(override val shard: Int, val entries: Int, val lastSequence: Long) : LedgerNotice()

    /** Another router wrote segment [sequence] first; its records were applied and this batch goes into a later one. */
    data class SegmentContended(override val shard: Int, val sequence: Long) : LedgerNotice()

    /** A store call failed with [reason]; the shard continues with a new call after a backoff. */
    data class StoreFailed(override val shard: Int, val reason: String) : LedgerNotice()

    /** The store value of [key] cannot be decoded; the shard grants no claims until it can be. */
    data class ValueMalformed(override val shard: Int, val key: String) : LedgerNotice()

    /** The shard has reached its maximum size and refuses claims of new keys. */
    data class ShardFull(override val shard: Int) : LedgerNotice()
}
