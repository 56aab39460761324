package org.cicadaarch.dispatch.watch

import org.cicadaarch.model.store.StoreResult

/**
 * An input to the watch of a store prefix, handled by [WatchReducer].
 */
sealed class WatchEvent {
    /** The watch starts. */
    data object Started : WatchEvent()

    /** The store call [callId] ended with [result]. */
    data class CallCompleted(val callId: Long, val result: StoreResult) : WatchEvent()

    /** Another router sent [update]. */
    data class PeerUpdateReceived(val update: PrefixUpdate) : WatchEvent()

    /** From now on other routers watch the store for this one, which makes no calls. */
    data object Delegated : WatchEvent()

    /** This router watches the store itself again. */
    data object Resumed : WatchEvent()

    /**
     * The store seems to have stopped serving this router, for [reason]. A watch that waits may have ended unnoticed.
     */
    data class StoreUnresponsive(val reason: String) : WatchEvent()

    /** The store is known to be in [era], as one of its responses or another router stated. */
    data class EraObserved(val era: Long) : WatchEvent()

    /** The copy is up to date: the store serves its watch, or a router that the store serves has no news for it. */
    data object CopyConfirmed : WatchEvent()

    /** The time given by [WatchReducer.nextTick] has come. */
    data object Tick : WatchEvent()
}
