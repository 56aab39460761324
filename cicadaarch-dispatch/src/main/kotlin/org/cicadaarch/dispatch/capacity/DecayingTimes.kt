package org.cicadaarch.dispatch.capacity

import org.cicadaarch.model.Timestamp

/**
 * The [times] of a target as of [at].
 */
data class DecayingTimes(private val times: RelativeTimes, private val at: Timestamp) {
    /** The times at [now]. */
    fun at(now: Timestamp): RelativeTimes = times.aged(now - at)

    /** The sum with [added], which are as of [now]. */
    fun plus(added: RelativeTimes, now: Timestamp) = DecayingTimes(at(now).plus(added), now)

    companion object {
        /** The sum without any sample. */
        fun empty(now: Timestamp) = DecayingTimes(RelativeTimes(), now)
    }
}
