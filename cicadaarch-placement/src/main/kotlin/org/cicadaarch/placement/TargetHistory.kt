package org.cicadaarch.placement

import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * How long a target has been up, as durations, so that routers with different clocks agree: [uptime] since it last came
 * up, and its [failures] within the last ten minutes.
 */
data class TargetHistory(val uptime: Duration, val failures: Int = 0) {
    /**
     * The part of its weight that the target has: all of it after a first failure, then none but [FLOOR] until it was
     * up for a period that doubles with each failure.
     */
    val weightFactor: Double get() = if (failures < 2 || uptime >= steadyPeriod) 1.0 else FLOOR

    private val steadyPeriod: Duration
        get() = minOf(LONGEST_STEADY_PERIOD, FIRST_STEADY_PERIOD * (1 shl minOf(failures - 2, DOUBLINGS)))

    private companion object {
        val FIRST_STEADY_PERIOD = 30.seconds
        val LONGEST_STEADY_PERIOD = 5.minutes
        const val DOUBLINGS = 4
        const val FLOOR = 0.01
    }
}
