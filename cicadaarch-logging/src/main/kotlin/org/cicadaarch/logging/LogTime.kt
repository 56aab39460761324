package org.cicadaarch.logging

import java.time.LocalDateTime
import java.time.ZoneOffset

/**
 * Formats times of the day as ISO 8601 in UTC, with milliseconds. Not for use by several threads.
 */
internal class LogTime {
    private var second = Long.MIN_VALUE
    private var secondText = ""

    /** The text for [epochMillis], Unix time. */
    fun format(epochMillis: Long): String {
        val nextSecond = Math.floorDiv(epochMillis, MILLIS_PER_SECOND)
        if (nextSecond != second) {
            second = nextSecond
            secondText = format(LocalDateTime.ofEpochSecond(nextSecond, 0, ZoneOffset.UTC))
        }
        return secondText + "." + padded(Math.floorMod(epochMillis, MILLIS_PER_SECOND).toInt(), length = 3) + "Z"
    }

    private fun format(time: LocalDateTime): String = time.toLocalDate().toString() + "T" +
        listOf(time.hour, time.minute, time.second).joinToString(separator = ":") { padded(it, length = 2) }

    private fun padded(number: Int, length: Int): String = number.toString().padStart(length, '0')

    private companion object {
        const val MILLIS_PER_SECOND = 1_000L
    }
}
