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

    /** Another router has all [values] below the prefix as of the store's [revision]. */
    data class Relayed(val values: Map<String, String>, val revision: Long) : FollowEvent()

    /** Time has passed. */
    data object Tick : FollowEvent()
}
