package org.cicadaarch.ledger

/**
 * The store keys of a shard: one snapshot, and a ring of segment slots that are overwritten but never deleted.
 */
internal object LedgerStoreKeys {
    private const val SLOT_DIGITS = 6

    fun snapshotKey(shard: Int): String = "ledger/$shard/snapshot"

    fun segmentPrefix(shard: Int): String = "ledger/$shard/segment/"

    fun segmentKey(shard: Int, slot: Int): String = segmentPrefix(shard) + slot.toString().padStart(SLOT_DIGITS, '0')

    fun slotOf(key: String): Int = key.substringAfterLast('/').toInt()
}
