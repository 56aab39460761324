package org.cicadaarch.dispatch.target

/**
 * A target's own count of its requests: [running] and [waiting], from all routers.
 */
data class LoadReport(val running: Int, val waiting: Int) {
    /** Requests that the target has. */
    val total: Int get() = running + waiting
}
