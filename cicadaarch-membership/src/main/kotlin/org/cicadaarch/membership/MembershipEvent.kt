package org.cicadaarch.membership

import org.cicadaarch.model.Revision
import org.cicadaarch.model.RouterAddress

/**
 * What happens to the membership of one router.
 */
sealed class MembershipEvent {
    /** [message] came in a datagram from [from]. */
    data class Received(val from: RouterAddress, val message: MembershipMessage) : MembershipEvent()

    /** The platform's list was read. A failed reading is no event: the last list stays in use. */
    data class ListFetched(val entries: List<ListedVm>) : MembershipEvent()

    /** This router installed the configuration of [revision]. */
    data class RevisionInstalled(val revision: Revision) : MembershipEvent()

    /** Graceful shutdown began: from now on this router tells all others that it is leaving. */
    data object LeaveRequested : MembershipEvent()

    /** Graceful shutdown ended: says goodbye to some routers, after which this router does nothing more. */
    data object LeaveCompleted : MembershipEvent()

    /** The periodic tick, every 100 ms. */
    data object Tick : MembershipEvent()
}
