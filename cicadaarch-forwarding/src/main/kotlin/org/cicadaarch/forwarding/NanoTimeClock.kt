package org.cicadaarch.forwarding

import org.cicadaarch.model.Timestamp

/**
 * The JVM's monotonic clock, in milliseconds.
 */
internal object NanoTimeClock {
    private const val NANOS_PER_MILLISECOND = 1_000_000L

    /** The current time, comparable only with other values of this clock. */
    fun now(): Timestamp = Timestamp(System.nanoTime() / NANOS_PER_MILLISECOND)
}
