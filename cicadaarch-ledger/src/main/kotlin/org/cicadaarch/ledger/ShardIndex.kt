package org.cicadaarch.ledger

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.toPersistentHashMap

/**
 * The entries of one shard's keys after some segment of its log. [encodedSizeBound] is an upper bound of their size in
 * an encoded snapshot, in bytes.
 */
data class ShardIndex(
    val entries: PersistentMap<ClaimKey, LedgerEntry> = persistentHashMapOf(),
    val encodedSizeBound: Int = 0,
) {
    /** Returns the entry of [key], or null if it has none or its entry is older than [retentionSeconds]. */
    fun entryOf(key: ClaimKey, epochSeconds: Long, retentionSeconds: Long): LedgerEntry? =
        entries[key]?.takeUnless { it.hasExpired(epochSeconds, retentionSeconds) }

    /** Returns the index after applying [record], written at [writtenAt]. */
    fun withRecord(record: LedgerRecord, writtenAt: Long): ShardIndex = when (record) {
        is LedgerRecord.Claimed -> withEntry(record.claim.key, LedgerEntry.Open(record.claim.nonce, writtenAt))

        is LedgerRecord.Finished -> if (isHeldBy(record.claim)) {
            withEntry(record.claim.key, LedgerEntry.Finished(record.result, writtenAt, record.digest))
        } else {
            this
        }

        is LedgerRecord.Abandoned -> if (isHeldBy(record.claim)) withoutEntry(record.claim.key) else this
    }

    /** Returns the index after applying [records] in order, written at [writtenAt]. */
    fun withRecords(records: List<LedgerRecord>, writtenAt: Long): ShardIndex =
        records.fold(this) { index, record -> index.withRecord(record, writtenAt) }

    /** Returns the index without entries that were last changed over [retentionSeconds] before [epochSeconds]. */
    fun withoutExpired(epochSeconds: Long, retentionSeconds: Long): ShardIndex {
        val kept = entries.filterValues { !it.hasExpired(epochSeconds, retentionSeconds) }
        return if (kept.size == entries.size) this else of(kept)
    }

    private fun isHeldBy(claim: Claim): Boolean = (entries[claim.key] as? LedgerEntry.Open)?.nonce == claim.nonce

    private fun withEntry(key: ClaimKey, entry: LedgerEntry): ShardIndex = ShardIndex(
        entries = entries.put(key, entry),
        encodedSizeBound = encodedSizeBound + sizeOf(entry) - (entries[key]?.let(::sizeOf) ?: 0),
    )

    private fun withoutEntry(key: ClaimKey): ShardIndex = ShardIndex(
        entries = entries.remove(key),
        encodedSizeBound = encodedSizeBound - (entries[key]?.let(::sizeOf) ?: 0),
    )

    internal companion object {
        private const val OPEN_ENTRY_BYTES = 96
        private const val FINISHED_ENTRY_BYTES = 72

        fun of(entries: Map<ClaimKey, LedgerEntry>): ShardIndex = ShardIndex(
            entries = entries.toPersistentHashMap(),
            encodedSizeBound = entries.values.sumOf(::sizeOf),
        )

        private fun sizeOf(entry: LedgerEntry): Int = when (entry) {
            is LedgerEntry.Open -> OPEN_ENTRY_BYTES + entry.nonce.toString().encodeToByteArray().size
            is LedgerEntry.Finished -> FINISHED_ENTRY_BYTES + entry.digest.orEmpty().encodeToByteArray().size
        }

        private fun LedgerEntry.hasExpired(epochSeconds: Long, retentionSeconds: Long): Boolean =
            changedAt + retentionSeconds < epochSeconds
    }
}
