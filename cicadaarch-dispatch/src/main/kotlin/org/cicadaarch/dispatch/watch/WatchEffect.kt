package org.cicadaarch.dispatch.watch

import org.cicadaarch.model.store.StoreCommand

/**
 * What the following of a prefix wants done.
 */
sealed class WatchEffect {
    /** Send [command]; the answer comes back with the number [callId]. */
    data class Call(val callId: Long, val command: StoreCommand) : WatchEffect()

    /** The values below the prefix are now [values], by key. */
    data class ValuesChanged(val values: Map<String, String>) : WatchEffect()

    /** The store does not answer, for [reason]. */
    data class StoreLost(val reason: String) : WatchEffect()

    /** The store answers again. */
    data object StoreRegained : WatchEffect()
}
