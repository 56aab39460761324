package org.cicadaarch.quota

import org.cicadaarch.model.AccountId
import org.cicadaarch.model.RouterId
import org.cicadaarch.model.RouterView
import org.cicadaarch.placement.RendezvousHash

/**
 * Assigns each client account's quota owner among the live routers by rendezvous hashing.
 */
object QuotaOwnership {
    private const val KEY_PREFIX = "quota/"

    /** The router that owns the limits of [account] in [view], or null when no router takes roles. */
    fun ownerOf(account: AccountId, view: RouterView): RouterId? = RendezvousHash.first(
        key = KEY_PREFIX + account.value,
        members = view.activeRouters,
        name = { it.id.value },
    )?.id
}
