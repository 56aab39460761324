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
 * Everything that a router knows, as the states of its roles.
 *
 * [accounts] are those of the open requests that count against their accounts' limits; [limited] are the requests that
 * wait until such a limit allows them.
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
    val accounts: PersistentMap<RequestId, AccountId> = persistentMapOf(),
    val limited: PersistentMap<RequestId, LimitedRequest> = persistentMapOf(),
    val revision: Revision = Revision.NONE,
)
