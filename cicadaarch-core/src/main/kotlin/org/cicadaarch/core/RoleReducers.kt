package org.cicadaarch.core

import org.cicadaarch.admission.AdmissionReducer
import org.cicadaarch.configuration.dissemination.ConfigurationReducer
import org.cicadaarch.ledger.ClaimantReducer
import org.cicadaarch.ledger.LedgerReducer
import org.cicadaarch.membership.MembershipReducer
import org.cicadaarch.orders.OrdersReducer
import org.cicadaarch.quota.QuotaReducer
import org.cicadaarch.request.IngressReducer

/**
 * The reducers of a router's roles, each constructed with its settings.
 */
data class RoleReducers(
    val ingress: IngressReducer = IngressReducer(),
    val admission: AdmissionReducer = AdmissionReducer(),
    val membership: MembershipReducer = MembershipReducer(),
    val ledger: LedgerReducer = LedgerReducer(),
    val claimant: ClaimantReducer = ClaimantReducer(),
    val configuration: ConfigurationReducer = ConfigurationReducer(),
    val quota: QuotaReducer = QuotaReducer(),
    val orders: OrdersReducer = OrdersReducer(),
)
