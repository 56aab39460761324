package org.cicadaarch.model

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.serialization.Serializable

/**
 * A reading of the monotonic clock of one process, in [milliseconds] since an arbitrary origin.
 *
 * Timestamps of different processes are not comparable, so messages between processes carry durations instead.
 */
@JvmInline
@Serializable
value class Timestamp(val milliseconds: Long) : Comparable<Timestamp> {
    operator fun plus(duration: Duration): Timestamp = Timestamp(milliseconds + duration.inWholeMilliseconds)

    operator fun minus(duration: Duration): Timestamp = Timestamp(milliseconds - duration.inWholeMilliseconds)

    operator fun minus(other: Timestamp): Duration = (milliseconds - other.milliseconds).milliseconds

    override fun compareTo(other: Timestamp): Int = milliseconds.compareTo(other.milliseconds)
}
