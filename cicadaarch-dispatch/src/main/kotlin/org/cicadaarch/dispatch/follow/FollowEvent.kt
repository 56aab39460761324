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

    /** Time has passed. */
    data object Tick : FollowEvent()
}
