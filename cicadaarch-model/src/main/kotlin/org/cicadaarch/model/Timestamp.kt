package org.cicadaarch.model

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.serialization.Serializable

/**
 * A point on one process's monotonic clock, in [milliseconds] since an arbitrary origin.
 *
 * Timestamps of two processes are not comparable; messages carry durations instead.
 */
@JvmInline
@Serializable
value class Timestamp(val milliseconds: Long) : Comparable<Timestamp> {
    operator fun plus(duration: Duration): Timestamp = Timestamp(milliseconds + duration.inWholeMilliseconds)

    operator fun minus(duration: Duration): Timestamp = Timestamp(milliseconds - duration.inWholeMilliseconds)

    operator fun minus(other: Timestamp): Duration = (milliseconds - other.milliseconds).milliseconds

    override fun compareTo(other: Timestamp): Int = milliseconds.compareTo(other.milliseconds)
}
