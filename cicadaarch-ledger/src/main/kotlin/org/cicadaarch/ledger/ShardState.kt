package org.cicadaarch.ledger

import kotlin.time.Duration
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.cicadaarch.model.CallBudget
import org.cicadaarch.model.Timestamp

/**
 * One shard at its owner. [segmentLog] is null until the shard is loaded from the store. [call] is the outstanding
 * store call; after a failure, the next one starts at [retryAt] or later.
 *
 * [theoreticalWriteTime] is the theoretical arrival time of the generic cell rate algorithm (GCRA), which limits the
 * rate of segments with claims. [callBudget] limits the rate of all store calls.
 */
data class ShardState(
    val number: Int,
    val lastUsedAt: Timestamp,
    val segmentLog: SegmentLog? = null,
    val loading: LoadProgress = LoadProgress(),
    val claims: PersistentMap<ClaimNonce, PendingClaim> = persistentMapOf(),
    val reports: PersistentMap<ClaimNonce, PendingReport> = persistentMapOf(),
    val inquiries: PersistentMap<ClaimNonce, HolderInquiry> = persistentMapOf(),
    val call: ShardStoreCall? = null,
    val lastCallId: Long = 0,
    val theoreticalWriteTime: Timestamp = lastUsedAt,
    val retryAt: Timestamp = lastUsedAt,
    val backoff: Duration = Duration.ZERO,
    val callBudget: CallBudget = CallBudget(),
)
