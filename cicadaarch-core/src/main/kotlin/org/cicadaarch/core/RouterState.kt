package org.cicadaarch.core

import org.cicadaarch.admission.AdmissionState
import org.cicadaarch.ledger.ClaimantState
import org.cicadaarch.ledger.LedgerState
import org.cicadaarch.membership.MembershipState
import org.cicadaarch.model.Revision
import org.cicadaarch.model.RouterInfo
import org.cicadaarch.model.RouterView
import org.cicadaarch.model.Timestamp
import org.cicadaarch.request.IngressState

/**
 * Everything that a router knows, as the states of its roles.
 */
data class RouterState(
    val view: RouterView,
    val membership: MembershipState,
    val ledger: LedgerState,
    val claimant: ClaimantState = ClaimantState(view = view),
    val revision: Revision = Revision.NONE,
    val ingress: IngressState = IngressState(view = view),
    val admission: AdmissionState = AdmissionState(view = view, fleet = null),
) {
    companion object {
        /** The state of a process that starts as [self] at [now] and [epochSeconds] and knows nobody. */
        fun initial(self: RouterInfo, now: Timestamp, epochSeconds: Long): RouterState {
            val view = RouterView(self.id, mapOf(self.id to self))
            return RouterState(
                view = view,
                membership = MembershipState.initial(self, now),
                ledger = LedgerState(view = view, epochSeconds = epochSeconds, tickedAt = now),
            )
        }
    }
}
