package org.cicadaarch.forwarding.observation

/**
 * What of a request is timed.
 */
internal enum class LatencyPhase(val label: String) {
    /** Until the first part of the answer was given to the caller. */
    FIRST_PART("first-part"),

    /** Until the request ended. */
    WHOLE("whole"),
}
