package org.cicadaarch.ledger

import kotlin.time.Duration
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.cicadaarch.model.Timestamp

/**
 * One shard at its owner. [chain] is null until the shard is read from the store; [call] is the outstanding store call.
 * Segments written so far use up their share of the write rate until [pacedUntil].
 */
data class ShardState(
    val number: Int,
    val lastUsedAt: Timestamp,
    val chain: ShardChain? = null,
    val loading: LoadProgress = LoadProgress(),
    val claims: PersistentMap<ClaimNonce, WaitingClaim> = persistentMapOf(),
    val reports: PersistentMap<ClaimNonce, WaitingReport> = persistentMapOf(),
    val inquiries: PersistentMap<ClaimNonce, Inquiry> = persistentMapOf(),
    val call: ShardCall? = null,
    val calls: Long = 0,
    val pacedUntil: Timestamp = lastUsedAt,
    val retryAt: Timestamp = lastUsedAt,
    val backoff: Duration = Duration.ZERO,
)
