package org.cicadaarch.ledger

import org.cicadaarch.model.RouterId
import org.cicadaarch.model.RouterView
import org.cicadaarch.placement.RendezvousHash

/**
 * Maps keys to shards by hash, and shards to their owners among the active routers by rendezvous hashing.
 */
object ShardOwnership {
    private const val KEY_PREFIX = "ledger/"

    /** Returns the number of the shard of [key], out of [shards]; it is the same on every router. */
    fun shardOf(key: ClaimKey, shards: Int): Int = Math.floorMod(key.value.hashCode(), shards)

    /** Returns the router that owns [shard] by [view], or null if no router is active. */
    fun ownerOf(shard: Int, view: RouterView): RouterId? = RendezvousHash.first(
        key = KEY_PREFIX + shard,
        members = view.activeRouters,
        name = { it.id.value },
    )?.id
}
