package org.cicadaarch.quota

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.cicadaarch.model.AccountId
import org.cicadaarch.model.RouterView
import org.cicadaarch.model.fleet.AccountLimits
import org.cicadaarch.model.fleet.FleetDocument

/**
 * The quota role of one router: the [local] buckets of accounts that are busy here, and the accounts [owned].
 */
data class QuotaState(
    val view: RouterView,
    val fleet: FleetDocument?,
    val local: PersistentMap<AccountId, LocalQuota> = persistentMapOf(),
    val owned: PersistentMap<AccountId, ShareAllocation> = persistentMapOf(),
) {
    /** The limits of [account] under the active preset. */
    fun limitsOf(account: AccountId): AccountLimits =
        fleet?.preset?.accountLimits?.get(account) ?: fleet?.accounts?.get(account)?.limits ?: AccountLimits()
}
