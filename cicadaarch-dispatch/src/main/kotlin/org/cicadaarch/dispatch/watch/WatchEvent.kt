package org.cicadaarch.dispatch.watch

import org.cicadaarch.model.store.StoreResult

/**
 * All that can happen to the following of a prefix of the store.
 */
sealed class WatchEvent {
    /** Following begins. */
    data object Started : WatchEvent()

    /** The store answered the command with number [callId]. */
    data class CallCompleted(val callId: Long, val result: StoreResult) : WatchEvent()

    /** Another router told its [update]. */
    data class PeerUpdateReceived(val update: PrefixUpdate) : WatchEvent()

    /** Other routers follow the store for this one, which makes no calls from now on. */
    data object Delegated : WatchEvent()

    /** This router follows the store itself again. */
    data object Resumed : WatchEvent()

    /** Time has passed. */
    data object Tick : WatchEvent()
}
