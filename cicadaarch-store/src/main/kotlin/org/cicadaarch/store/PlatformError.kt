package org.cicadaarch.store

/**
 * Why a call to a service of the platform failed.
 */
sealed class PlatformError {
    /** The connection could not be established or was lost, for [reason]. */
    data class Unreachable(val reason: String) : PlatformError()

    /** No response arrived before the timeout. */
    data object TimedOut : PlatformError()

    /** The response had an unexpected status or format, described by [reason]. */
    data class Malformed(val reason: String) : PlatformError()
}
