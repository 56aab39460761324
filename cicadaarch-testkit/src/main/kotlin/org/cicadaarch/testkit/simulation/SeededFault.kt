package org.cicadaarch.testkit.simulation

/**
 * A mechanism switched off on purpose, to show that the outcome checker notices.
 */
enum class SeededFault {
    /** A connection that broke is reported as one that was never made, so the request counts as not started. */
    LOST_CONNECTION_REPORTED_AS_NOT_MADE,

    /** The store writes whether or not the key is as expected. */
    STORE_IGNORES_CONDITIONS,
}
