package org.cicadaarch.membership

import org.cicadaarch.model.Revision
import org.cicadaarch.model.RouterAddress
import org.cicadaarch.model.RouterId
import org.cicadaarch.model.RouterInfo
import org.cicadaarch.model.RouterView

/**
 * Side effects requested by [MembershipReducer], and notices to log.
 */
sealed class MembershipEffect {
    /** Sends [message] to [to] in one UDP datagram, which may be lost. */
    data class Send(val to: RouterAddress, val message: MembershipMessage) : MembershipEffect()

    /** Fetches the platform's VM list; the result is reported by [MembershipEvent.ListFetched]. */
    data object FetchList : MembershipEffect()

    /** The set of routers eligible for roles, or their data, changed; emitted at most once per tick. */
    data class ViewChanged(val view: RouterView) : MembershipEffect()

    /**
     * [router] runs configuration [revision]; emitted when this is new or differs from the revision that this router
     * runs.
     */
    data class RevisionReported(val router: RouterId, val revision: Revision) : MembershipEffect()

    /** Notice: [router] became a member. */
    data class MemberJoined(val router: RouterInfo) : MembershipEffect()

    /** Notice: [router] is suspected of having failed at [incarnation]. */
    data class MemberSuspected(val router: RouterId, val incarnation: Long) : MembershipEffect()

    /** Notice: [router] refuted a suspicion with the higher [incarnation]. */
    data class SuspicionRefuted(val router: RouterId, val incarnation: Long) : MembershipEffect()

    /** Notice: [router] is no longer a member. */
    data class MemberRemoved(val router: RouterInfo, val reason: RemovalReason) : MembershipEffect()

    /** Notice: this process was paused for [milliseconds]; the deadlines of all suspicions were extended by as much. */
    data class PauseNoticed(val milliseconds: Long) : MembershipEffect()
}
