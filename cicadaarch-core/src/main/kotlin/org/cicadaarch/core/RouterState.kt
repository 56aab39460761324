package org.cicadaarch.core

import org.cicadaarch.admission.AdmissionState
import org.cicadaarch.configuration.spread.ConfigurationState
import org.cicadaarch.ledger.ClaimantState
import org.cicadaarch.ledger.LedgerState
import org.cicadaarch.membership.MembershipState
import org.cicadaarch.model.Revision
import org.cicadaarch.model.RouterView
import org.cicadaarch.orders.OrdersState
import org.cicadaarch.request.IngressState

/**
 * Everything that a router knows, as the states of its roles.
 */
data class RouterState(
    val view: RouterView,
    val membership: MembershipState,
    val configuration: ConfigurationState,
    val ledger: LedgerState,
    val claimant: ClaimantState,
    val ingress: IngressState,
    val admission: AdmissionState,
    val orders: OrdersState,
    val revision: Revision = Revision.NONE,
)
