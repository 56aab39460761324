package org.cicadaarch.ledger

import org.cicadaarch.model.RouterId
import org.cicadaarch.model.RouterView
import org.cicadaarch.placement.RendezvousHash

/**
 * Assigns keys to shards, and each shard's owner among the live routers by rendezvous hashing.
 */
object ShardOwnership {
    private const val KEY_PREFIX = "ledger/"

    /** The shard of [key] among [shards]; equal on every router. */
    fun shardOf(key: ClaimKey, shards: Int): Int = Math.floorMod(key.value.hashCode(), shards)

    /** The router that owns [shard] in [view], or null when no router takes roles. */
    fun ownerOf(shard: Int, view: RouterView): RouterId? = RendezvousHash.first(
        key = KEY_PREFIX + shard,
        members = view.activeRouters,
        name = { it.id.value },
    )?.id
}
