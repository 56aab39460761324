package org.cicadaarch.dispatch.admission

import kotlin.time.Duration.Companion.seconds
import org.cicadaarch.model.Timestamp

/**
 * How many of the requests that arrived lately were sent to a target.
 */
data class ServedRatio(
    private val arrived: DecayingCount = DecayingCount(),
    private val sent: DecayingCount = DecayingCount(),
) {
    /** The ratio at [now], from 0 to 1; 1 if too few requests arrived to tell. */
    fun at(now: Timestamp): Double = knownAt(now) ?: 1.0

    /** The ratio at [now], from 0 to 1; null if too few requests arrived to tell. */
    fun knownAt(now: Timestamp): Double? {
        val arrivedLately = arrived.at(now, MEMORY)
        if (arrivedLately < MIN_ARRIVED) return null
        return (sent.at(now, MEMORY) / arrivedLately).coerceIn(0.0, 1.0)
    }

    /** How many more requests would have to be sent at [now] to reach [ratio]; 0 if too few arrived to tell. */
    fun missing(ratio: Double, now: Timestamp): Double {
        val arrivedLately = arrived.at(now, MEMORY)
        if (arrivedLately < MIN_ARRIVED) return 0.0
        return (ratio * arrivedLately - sent.at(now, MEMORY)).coerceAtLeast(0.0)
    }

    /** A copy that counts a request that arrived at [now]. */
    fun withArrival(now: Timestamp) = copy(arrived = arrived.plus(1.0, now, MEMORY))

    /** A copy that counts a request that was sent at [now]. */
    fun withSent(now: Timestamp) = copy(sent = sent.plus(1.0, now, MEMORY))

    private companion object {
        /** Long enough for several requests of a rare kind, short enough to follow a change of load. */
        val MEMORY = 10.seconds
        const val MIN_ARRIVED = 2.0
    }
}
