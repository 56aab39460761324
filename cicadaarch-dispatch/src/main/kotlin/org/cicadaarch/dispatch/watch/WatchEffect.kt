package org.cicadaarch.dispatch.watch

import org.cicadaarch.model.store.StoreCommand

/**
 * An action that [WatchReducer] asks for.
 */
sealed class WatchEffect {
    /** Send [command] to the store and report the result with [callId]. */
    data class Call(val callId: Long, val command: StoreCommand) : WatchEffect()

    /** The values below the prefix, by key, are now [values]. */
    data class ValuesChanged(val values: Map<String, String>) : WatchEffect()

    /** Store calls have started to fail; [reason] is that of the first failure. */
    data class StoreLost(val reason: String) : WatchEffect()

    /** A store call has succeeded after one or more failures. */
    data object StoreRegained : WatchEffect()
}
