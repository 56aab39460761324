package org.cicadaarch.dispatch.routing

/**
 * Whether a request may use a route.
 */
sealed class Authorization {
    /** The route requires no API key. */
    data object NotRequired : Authorization()

    /** The API key belongs to [account]. */
    data class Granted(val account: ClientAccount) : Authorization()

    /** The API key is missing or unknown. */
    data object Denied : Authorization()
}
