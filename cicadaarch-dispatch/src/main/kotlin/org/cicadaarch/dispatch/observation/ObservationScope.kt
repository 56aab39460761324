package org.cicadaarch.dispatch.observation

/**
 * Whose observations a summary has.
 */
enum class ObservationScope {
    /** Those of the router itself and of the routers that report to it. Several such summaries can be added up. */
    FIRSTHAND,

    /** Those of the whole fleet. */
    FLEET,
}
