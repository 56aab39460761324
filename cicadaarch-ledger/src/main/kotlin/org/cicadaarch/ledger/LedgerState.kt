package org.cicadaarch.ledger

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.cicadaarch.model.RouterView
import org.cicadaarch.model.Timestamp

/**
 * The shards in use at one router, its [view] of the live routers, and the wall clock at the last tick: [epochSeconds]
 * since the epoch at the monotonic time [tickedAt].
 */
data class LedgerState(
    val view: RouterView,
    val epochSeconds: Long,
    val tickedAt: Timestamp,
    val shards: PersistentMap<Int, ShardState> = persistentMapOf(),
)
