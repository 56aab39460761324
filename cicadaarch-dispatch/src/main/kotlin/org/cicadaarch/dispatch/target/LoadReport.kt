package org.cicadaarch.dispatch.target

/**
 * The load that a target reports: its [running] and [waiting] requests from all routers.
 */
data class LoadReport(val running: Int, val waiting: Int) {
    /** All requests at the target. */
    val total: Int get() = running + waiting
}
