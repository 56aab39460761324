package org.cicadaarch.dispatch.target

/**
 * The load that a target reports: its [running] and [waiting] requests from all routers. [relativeRunTime] is how long
 * work takes on its machine at that moment, as a multiple of the usual time; null if the target does not say.
 */
data class LoadReport(val running: Int, val waiting: Int, val relativeRunTime: Double? = null) {
    /** All requests at the target. */
    val total: Int get() = running + waiting
}
