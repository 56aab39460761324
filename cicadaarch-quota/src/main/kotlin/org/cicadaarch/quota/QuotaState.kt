package org.cicadaarch.quota

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.cicadaarch.model.AccountId
import org.cicadaarch.model.RouterView
import org.cicadaarch.model.fleet.AccountLimits
import org.cicadaarch.model.fleet.FleetDocument

/**
 * The state of [QuotaReducer]: the [local] quotas of the accounts that are active at this ingress, and, in [owned], the
 * share allocations of the accounts for which this router is the quota owner.
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
