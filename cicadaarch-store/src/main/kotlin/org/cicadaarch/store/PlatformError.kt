package org.cicadaarch.store

/**
 * Why a call to the platform failed.
 */
sealed class PlatformError {
    /** No connection could be made, or it broke, for [reason]. */
    data class Unreachable(val reason: String) : PlatformError()

    /** No answer came in time. */
    data object TimedOut : PlatformError()

    /** The answer was not in the expected format, for [reason]. */
    data class Malformed(val reason: String) : PlatformError()
}
