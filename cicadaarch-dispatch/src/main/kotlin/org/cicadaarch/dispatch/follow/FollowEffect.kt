package org.cicadaarch.dispatch.follow

import org.cicadaarch.model.store.StoreCommand

/**
 * What the following of a prefix wants done.
 */
sealed class FollowEffect {
    /** Send [command]; the answer comes back with the number [call]. */
    data class Call(val call: Long, val command: StoreCommand) : FollowEffect()

    /** The values below the prefix are now [values], by key. */
    data class Changed(val values: Map<String, String>) : FollowEffect()

    /** The store does not answer, for [reason]. */
    data class StoreLost(val reason: String) : FollowEffect()

    /** The store answers again. */
    data object StoreRegained : FollowEffect()
}
