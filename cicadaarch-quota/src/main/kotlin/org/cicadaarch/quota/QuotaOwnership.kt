package org.cicadaarch.quota

import org.cicadaarch.model.AccountId
import org.cicadaarch.model.RouterId
import org.cicadaarch.model.RouterView
import org.cicadaarch.placement.RendezvousHash

/**
 * Assigns the quota owner of each client account to a live router by rendezvous hashing.
 */
object QuotaOwnership {
    private const val KEY_PREFIX = "quota/"

    /** The router that owns the limits of [account] in [view], or null if [view] has no active router. */
    fun ownerOf(account: AccountId, view: RouterView): RouterId? = RendezvousHash.first(
        key = KEY_PREFIX + account.value,
        members = view.activeRouters,
        name = { it.id.value },
    )?.id
}
