package org.cicadaarch.dispatch.routing

/**
 * Whether a request may use a route.
 */
sealed class Authorization {
    /** The route needs no key. */
    data object NotRequired : Authorization()

    /** The key belongs to [account]. */
    data class Granted(val account: ClientAccount) : Authorization()

    /** The key is missing or unknown. */
    data object Denied : Authorization()
}
