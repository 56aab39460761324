package org.cicadaarch.dispatch.follow

import org.cicadaarch.model.store.StoreResult

/**
 * All that can happen to the following of a prefix of the store.
 */
sealed class FollowEvent {
    /** Following begins. */
    data object Started : FollowEvent()

    /** The store answered the command with number [call]. */
    data class Answered(val call: Long, val result: StoreResult) : FollowEvent()

    /** Another router told its [changes]. */
    data class Relayed(val changes: KnownChanges) : FollowEvent()

    /** Other routers follow the store for this one, which makes no calls from now on. */
    data object Delegated : FollowEvent()

    /** This router follows the store itself again. */
    data object Resumed : FollowEvent()

    /** Time has passed. */
    data object Tick : FollowEvent()
}
