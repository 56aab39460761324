package org.cicadaarch.ledger

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.cicadaarch.model.RouterView
import org.cicadaarch.model.Timestamp

/**
 * The shard owners of one router: the shards in use, and the wall clock in seconds since the epoch at the last tick,
 * which was at [tickedAt].
 */
data class LedgerState(
    val view: RouterView,
    val epochSeconds: Long,
    val tickedAt: Timestamp,
    val shards: PersistentMap<Int, ShardState> = persistentMapOf(),
)
