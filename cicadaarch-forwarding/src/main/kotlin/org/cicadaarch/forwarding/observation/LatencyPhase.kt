package org.cicadaarch.forwarding.observation

/**
 * A part of a request whose duration is measured.
 */
internal enum class LatencyPhase(val label: String) {
    /** Until the first part of the response was written to the client. */
    FIRST_PART("first-part"),

    /** Until the request ended. */
    WHOLE("whole"),
}
