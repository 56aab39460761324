package org.cicadaarch.router.runtime

import org.cicadaarch.model.Timestamp

/**
 * The process's monotonic clock. It does not follow changes of the wall clock.
 */
object MonotonicClock {
    private const val MILLISECONDS_PER_SECOND = 1_000L
    private const val NANOSECONDS_PER_MILLISECOND = 1_000_000L

    /** The time now. */
    fun now(): Timestamp = Timestamp(System.nanoTime() / NANOSECONDS_PER_MILLISECOND)

    /** The wall clock in whole seconds since 1970, for records that outlive the process. */
    fun epochSeconds(): Long = System.currentTimeMillis() / MILLISECONDS_PER_SECOND
}
