package org.cicadaarch.membership

import org.cicadaarch.membership.MembershipEffect.ViewChanged
import org.cicadaarch.model.RouterInfo
import org.cicadaarch.model.RouterView
import org.cicadaarch.model.Step
import org.cicadaarch.model.Timestamp

/**
 * Derives the view from the member table.
 *
 * The view consists of this router and the members eligible for roles. A member that the VM list marks as leaving is
 * leaving in the view too.
 */
internal class ViewProjector {
    /** Updates the view if the member table, the VM list or a member's eligibility has changed. */
    fun project(state: MembershipState, now: Timestamp): MembershipStep {
        val eligibilityDue = state.nextEligibilityAt?.let { it <= now } ?: false
        val unchanged = state.table === state.projectedTable && state.vmList === state.projectedList
        if (unchanged && !eligibilityDue && state.view.routers[state.self.id] == state.self) return Step(state)
        val (eligible, ineligible) = state.table.members.values.partition { it.eligibleFrom <= now }
        val routers = eligible.map { withListedLeaving(state, it.info) } + state.self
        val view = RouterView(state.self.id, routers.associateBy { it.id })
        val projected = state.copy(
            view = view,
            projectedTable = state.table,
            projectedList = state.vmList,
            nextEligibilityAt = ineligible.minOfOrNull { it.eligibleFrom },
        )
        return Step(projected, if (view == state.view) emptyList() else listOf(ViewChanged(view)))
    }

    private fun withListedLeaving(state: MembershipState, info: RouterInfo): RouterInfo {
        val listedLeaving = state.vmList[info.address]?.leaving ?: false
        return if (listedLeaving && !info.leaving) info.copy(leaving = true) else info
    }
}
