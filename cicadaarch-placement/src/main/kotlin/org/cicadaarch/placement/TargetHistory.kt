package org.cicadaarch.placement

import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * The recent availability of a target: its [uptime] since it last came up and its [failures] within the last ten
 * minutes. The time is a duration and not a timestamp, so that routers with different clocks agree.
 */
data class TargetHistory(val uptime: Duration, val failures: Int = 0) {
    /**
     * The factor on the target's weight. It stays 1 after the first failure; after each further failure it is
     * [REDUCED_WEIGHT_FACTOR] until the target has been up for a period that doubles with each failure.
     */
    val weightFactor: Double get() = if (failures < 2 || uptime >= reducedWeightPeriod) 1.0 else REDUCED_WEIGHT_FACTOR

    private val reducedWeightPeriod: Duration
        get() = minOf(MAXIMUM_PERIOD, INITIAL_PERIOD * (1 shl minOf(failures - 2, MAXIMUM_DOUBLINGS)))

    private companion object {
        val INITIAL_PERIOD = 30.seconds
        val MAXIMUM_PERIOD = 5.minutes
        const val MAXIMUM_DOUBLINGS = 4
        const val REDUCED_WEIGHT_FACTOR = 0.01
    }
}
