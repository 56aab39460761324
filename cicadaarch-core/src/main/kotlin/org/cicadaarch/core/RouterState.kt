package org.cicadaarch.core

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.cicadaarch.admission.AdmissionState
import org.cicadaarch.configuration.dissemination.ConfigurationState
import org.cicadaarch.ledger.ClaimantState
import org.cicadaarch.ledger.LedgerState
import org.cicadaarch.membership.MembershipState
import org.cicadaarch.model.AccountId
import org.cicadaarch.model.RequestId
import org.cicadaarch.model.Revision
import org.cicadaarch.model.RouterView
import org.cicadaarch.orders.OrdersState
import org.cicadaarch.quota.QuotaState
import org.cicadaarch.request.IngressState

/**
 * The state of a router, composed of the states of its roles.
 *
 * [accountByRequest] holds the requests that currently count against the quota of their account; [quotaLimited] holds
 * those that wait until the quota admits them. [revision] is the revision of the configuration that is in effect.
 */
data class RouterState(
    val view: RouterView,
    val membership: MembershipState,
    val configuration: ConfigurationState,
    val ledger: LedgerState,
    val claimant: ClaimantState,
    val ingress: IngressState,
    val admission: AdmissionState,
    val quota: QuotaState,
    val orders: OrdersState,
    val accountByRequest: PersistentMap<RequestId, AccountId> = persistentMapOf(),
    val quotaLimited: PersistentMap<RequestId, QuotaLimitedRequest> = persistentMapOf(),
    val revision: Revision = Revision.NONE,
)
