package org.cicadaarch.dispatch.admission

/**
 * What clients do after a refusal.
 */
internal enum class SimulatedClient {
    /** They give up. */
    NONE,

    /** They return when the Retry-After has passed, until their latency objective is over. */
    PATIENT,

    /** They return after some milliseconds, whatever the Retry-After, until their latency objective is over. */
    IMMEDIATE,
}
