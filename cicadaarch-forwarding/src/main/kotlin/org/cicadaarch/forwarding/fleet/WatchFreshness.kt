package org.cicadaarch.forwarding.fleet

import org.cicadaarch.dispatch.watch.WatchEffect
import org.cicadaarch.dispatch.watch.WatchState
import org.cicadaarch.dispatch.watch.WatchState.Phase
import org.cicadaarch.forwarding.observation.StoreCallResult
import org.cicadaarch.model.Timestamp
import org.cicadaarch.model.store.StoreResult

/**
 * How fresh the values of a watch are.
 */
internal class WatchFreshness {
    /** When the store last answered a call of the watch other than by a failure; null if it never did. */
    var answeredAt: Timestamp? = null
        private set

    /** When the values were last known to be those of the store; null if they never were. */
    var currentAt: Timestamp? = null
        private set

    /** At [now], [call] ended with [result] and led from the state [before] to [after]. */
    fun callEnded(call: WatchEffect.Call, result: StoreResult, before: WatchState, after: WatchState, now: Timestamp) {
        if (StoreCallResult.of(call.command, result).isFailure) return
        answeredAt = now
        val isOpen = call.callId == before.callId
        if (isOpen && result is StoreResult.Values && isApplied(result, before, after)) currentAt = now
    }

    /**
     * At [now], another router that watches the store has stated that it knows nothing newer than [state]. What a
     * router that watches the store itself knows depends on its own calls only. Values of an earlier era than the
     * store's are not current, even if the other router has not read later ones either.
     */
    fun confirmedByPeer(state: WatchState, now: Timestamp) {
        val isOfStoreEra = state.version.isRead && state.version.era == state.era
        if (isOfStoreEra && !state.isWatchingStore) currentAt = now
    }

    /** Whether [result] completed a read or a watch and its version is that of the values in use. */
    private fun isApplied(result: StoreResult.Values, before: WatchState, after: WatchState): Boolean {
        val version = (before.phase as? Phase.Reading)?.version ?: result.version
        return !result.hasMore && after.version == version
    }
}
