package org.cicadaarch.admission

import kotlin.time.Duration.Companion.seconds
import org.cicadaarch.model.Timestamp

/**
 * The highest number of permits in the current and the previous window. The windows are longer than the delay of load
 * reports, so a report is compared with a period that includes the moment it describes.
 */
data class RecentPeak(private val window: Long = 0, private val current: Int = 0, private val previous: Int = 0) {
    val value: Int get() = maxOf(current, previous)

    /** Returns the peak after [count] permits were counted at [now]. */
    fun record(count: Int, now: Timestamp): RecentPeak {
        val currentWindow = now.milliseconds.floorDiv(WINDOW.inWholeMilliseconds)
        return when (currentWindow) {
            window -> if (count > current) copy(current = count) else this
            window + 1 -> RecentPeak(currentWindow, count, current)
            else -> RecentPeak(currentWindow, count, count)
        }
    }

    private companion object {
        val WINDOW = 2.seconds
    }
}
