package org.cicadaarch.ledger

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.toPersistentHashMap

/**
 * The keys of one shard as of a point of its chain. [encodedSizeBound] bounds from above the size of a snapshot of them.
 */
data class ShardIndex(
    val entries: PersistentMap<ClaimKey, LedgerEntry> = persistentHashMapOf(),
    val encodedSizeBound: Int = 0,
) {
    /** How [key] stands, or null when it is free at [epochSeconds] after [retentionSeconds]. */
    fun entryOf(key: ClaimKey, epochSeconds: Long, retentionSeconds: Long): LedgerEntry? =
        entries[key]?.takeUnless { it.hasExpired(epochSeconds, retentionSeconds) }

    /** The index after [record], written at [writtenAt]. */
    fun withRecord(record: LedgerRecord, writtenAt: Long): ShardIndex = when (record) {
        is LedgerRecord.Claimed -> withEntry(record.claim.key, LedgerEntry.Open(record.claim.nonce, writtenAt))

        is LedgerRecord.Finished -> if (isHeldBy(record.claim)) {
            withEntry(record.claim.key, LedgerEntry.Finished(record.result, writtenAt, record.digest))
        } else {
            this
        }

        is LedgerRecord.Abandoned -> if (isHeldBy(record.claim)) withoutEntry(record.claim.key) else this
    }

    /** The index after [records], written at [writtenAt]. */
    fun withRecords(records: List<LedgerRecord>, writtenAt: Long): ShardIndex =
        records.fold(this) { index, record -> index.withRecord(record, writtenAt) }

    /** The index without the entries that were last changed more than [retentionSeconds] before [epochSeconds]. */
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
