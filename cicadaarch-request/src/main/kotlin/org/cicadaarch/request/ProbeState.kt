package org.cicadaarch.request

/**
 * What is known of a target whose answer is overdue.
 */
enum class ProbeState {
    /** No probe was sent since the last progress. */
    NOT_SENT,

    /** A probe is on its way. */
    SENT,

    /** The target answered a probe on a new connection. */
    ALIVE,
}
