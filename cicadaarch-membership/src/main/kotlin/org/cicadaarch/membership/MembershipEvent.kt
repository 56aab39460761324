package org.cicadaarch.membership

import org.cicadaarch.model.Revision
import org.cicadaarch.model.RouterAddress

/**
 * Inputs of [MembershipReducer].
 */
sealed class MembershipEvent {
    /** A datagram with [message] arrived from [from]. */
    data class Received(val from: RouterAddress, val message: MembershipMessage) : MembershipEvent()

    /** The platform's VM list was fetched. A failed fetch causes no event: the last list stays in use. */
    data class ListFetched(val entries: List<ListedVm>) : MembershipEvent()

    /** This router installed configuration [revision]. */
    data class RevisionInstalled(val revision: Revision) : MembershipEvent()

    /** Graceful shutdown began: this router announces that it is leaving. */
    data object LeaveRequested : MembershipEvent()

    /** Graceful shutdown ended: this router announces its departure to a few members and ignores all later events. */
    data object LeaveCompleted : MembershipEvent()

    /** The periodic timer tick, every 100 ms. */
    data object Tick : MembershipEvent()
}
