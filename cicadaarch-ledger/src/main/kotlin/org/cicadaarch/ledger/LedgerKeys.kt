package org.cicadaarch.ledger

/**
 * The store's keys of a shard: one snapshot and a ring of segment slots that are never deleted.
 */
internal object LedgerKeys {
    private const val SLOT_DIGITS = 6

    fun snapshot(shard: Int): String = "ledger/$shard/snapshot"

    fun segments(shard: Int): String = "ledger/$shard/segment/"

    fun segment(shard: Int, slot: Int): String = segments(shard) + slot.toString().padStart(SLOT_DIGITS, '0')

    fun slotOf(key: String): Int = key.substringAfterLast('/').toInt()
}
