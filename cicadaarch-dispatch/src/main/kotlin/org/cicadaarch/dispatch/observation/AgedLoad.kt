package org.cicadaarch.dispatch.observation

import kotlin.time.Duration
import org.cicadaarch.model.Timestamp

/**
 * The number of [requests] at a target, from all routers, as it reported them [age] ago.
 */
data class AgedLoad(val requests: Int, val age: Duration) {
    /** The same load after [time] has passed. */
    fun aged(time: Duration) = copy(age = age + time)

    /** The same load with the time of the report on the clock that reads [now]. */
    fun dated(now: Timestamp) = DatedLoad(requests, at = now - age)
}
