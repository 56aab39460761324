package org.cicadaarch.admission

import kotlin.time.Duration.Companion.seconds
import org.cicadaarch.model.Timestamp

/**
 * The highest permit count of the last one to two windows, longer than load reports lag.
 */
data class RecentPeak(private val window: Long = 0, private val current: Int = 0, private val previous: Int = 0) {
    /** The peak. */
    val value: Int get() = maxOf(current, previous)

    /** The peak with [count] seen at [now]. */
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
