package org.cicadaarch.forwarding

import org.cicadaarch.model.Timestamp

/**
 * The process's monotonic clock.
 */
internal object NanoTimeClock {
    private const val NANOS_PER_MILLISECOND = 1_000_000L

    /** The present moment. */
    fun now(): Timestamp = Timestamp(System.nanoTime() / NANOS_PER_MILLISECOND)
}
