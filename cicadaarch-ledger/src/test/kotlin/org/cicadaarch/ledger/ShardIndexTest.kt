package org.cicadaarch.ledger

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import org.cicadaarch.model.AccountId
import org.cicadaarch.model.IdempotencyKey
import org.cicadaarch.model.RequestId
import org.cicadaarch.model.RouterId

class ShardIndexTest {
    private val holder = claim(key = 1, request = "first")
    private val other = claim(key = 1, request = "second")

    private data class Case(val records: List<LedgerRecord>, val expected: LedgerEntry?)

    @Test
    fun `Given records of a segment log, when they are replayed, then only the claim that holds a key changes it`() {
        val cases = listOf(
            Case(listOf(LedgerRecord.Claimed(holder)), LedgerEntry.Open(holder.nonce, NOW)),
            Case(listOf(LedgerRecord.Claimed(holder), LedgerRecord.Abandoned(holder)), null),
            Case(
                listOf(LedgerRecord.Claimed(holder), LedgerRecord.Abandoned(other)),
                LedgerEntry.Open(holder.nonce, NOW),
            ),
            Case(
                listOf(
                    LedgerRecord.Claimed(holder),
                    LedgerRecord.Finished(holder, RunResult.COMPLETED, "digest"),
                    LedgerRecord.Abandoned(holder),
                ),
                LedgerEntry.Finished(RunResult.COMPLETED, NOW, "digest"),
            ),
            Case(
                listOf(
                    LedgerRecord.Claimed(holder),
                    LedgerRecord.Abandoned(holder),
                    LedgerRecord.Claimed(other),
                    LedgerRecord.Finished(holder, RunResult.MAY_HAVE_RUN),
                ),
                LedgerEntry.Open(other.nonce, NOW),
            ),
        )
        cases.forEach { case ->
            val index = ShardIndex().withRecords(case.records, NOW)
            assertEquals(case.expected, index.entryOf(holder.key, NOW, RETENTION), "after ${case.records}")
        }
    }

    @Test
    fun `Given an entry, when the retention is over, then its key is free`() {
        val index = ShardIndex().withRecord(LedgerRecord.Claimed(holder), NOW)
        val ages = listOf(0L to true, RETENTION to true, RETENTION + 1 to false)
        ages.forEach { (age, isHeld) ->
            assertEquals(isHeld, index.entryOf(holder.key, NOW + age, RETENTION) != null, "at age $age")
            assertEquals(isHeld, !index.withoutExpired(NOW + age, RETENTION).entries.isEmpty(), "at age $age")
        }
    }

    @Test
    fun `Given many changes, when a snapshot is encoded, then its size is within the index's bound`() {
        val random = Random(1)
        var index = ShardIndex()
        repeat(5_000) { number ->
            val claim = claim(key = random.nextInt(500), request = "request-$number")
            val record = when (random.nextInt(3)) {
                0 -> LedgerRecord.Abandoned(claim)
                else -> LedgerRecord.Claimed(claim)
            }
            index = index.withRecord(record, NOW)
                .withRecord(LedgerRecord.Finished(claim, RunResult.COMPLETED, "d$number"), NOW)
            if (number % 2 == 0) index = index.withRecord(LedgerRecord.Claimed(claim), NOW)
        }
        val encoded = LedgerCodec.encode(Snapshot(lastSequence = 5_000, index.entries))
        val bound = index.encodedSizeBound + 64
        assertTrue(encoded.length <= bound, "${encoded.length} exceeds the bound $bound")
        assertEquals(ShardIndex.of(index.entries), index)
    }

    private fun claim(key: Int, request: String): Claim = Claim(
        ClaimKey.of(AccountId("orchard"), IdempotencyKey("k$key")),
        ClaimNonce(RequestId(request), RouterId("router-1")),
    )

    private companion object {
        const val NOW = 1_790_000_000L
        const val RETENTION = 100L
    }
}
