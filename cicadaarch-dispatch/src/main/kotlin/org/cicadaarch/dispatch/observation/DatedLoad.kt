package org.cicadaarch.dispatch.observation

import org.cicadaarch.model.Timestamp

/**
 * The number of [requests] at a target, from all routers, as it reported them [at].
 */
data class DatedLoad(val requests: Int, val at: Timestamp) {
    /** The same load with its age at [now]. */
    fun aged(now: Timestamp) = AgedLoad(requests, age = now - at)

    /** The newer one of this load and [other]. */
    fun newest(other: DatedLoad?): DatedLoad = if (other != null && other.at > at) other else this
}
