package org.cicadaarch.membership

import org.cicadaarch.model.Revision
import org.cicadaarch.model.RouterAddress
import org.cicadaarch.model.RouterId
import org.cicadaarch.model.RouterInfo
import org.cicadaarch.model.RouterView

/**
 * What the membership of one router wants done.
 */
sealed class MembershipEffect {
    /** Sends [message] in one datagram to [to]; it may be lost. */
    data class Send(val to: RouterAddress, val message: MembershipMessage) : MembershipEffect()

    /** Reads the platform's list; the result comes back as [MembershipEvent.ListFetched]. */
    data object FetchList : MembershipEffect()

    /** The routers fit for roles changed; given at most once per tick. */
    data class ViewChanged(val view: RouterView) : MembershipEffect()

    /** [router] runs the configuration of [revision]; given when that is news or differs from this router's own. */
    data class RevisionReported(val router: RouterId, val revision: Revision) : MembershipEffect()

    /** Notice: [router] became a member. */
    data class MemberJoined(val router: RouterInfo) : MembershipEffect()

    /** Notice: [router] is suspected at [incarnation]. */
    data class MemberSuspected(val router: RouterId, val incarnation: Long) : MembershipEffect()

    /** Notice: [router] refuted a suspicion with [incarnation]. */
    data class SuspicionRefuted(val router: RouterId, val incarnation: Long) : MembershipEffect()

    /** Notice: [router] is no longer a member. */
    data class MemberRemoved(val router: RouterInfo, val reason: RemovalReason) : MembershipEffect()

    /** Notice: the process was paused for [milliseconds] and has extended all its deadlines. */
    data class PauseNoticed(val milliseconds: Long) : MembershipEffect()
}
