package org.cicadaarch.request

/**
 * Whether a target that has made no progress was probed, and with which result.
 */
enum class ProbeState {
    /** No probe was sent since the response last progressed. */
    NOT_SENT,

    /** A probe was sent and its result is pending. */
    SENT,

    /** The target responded to a probe on a new connection. */
    ALIVE,
}
