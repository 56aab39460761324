package org.cicadaarch.dispatch.warmup

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import org.cicadaarch.dispatch.target.TargetEntry
import org.cicadaarch.model.Timestamp

/**
 * The warm-up of a target, which ends at [endsAt] by the clock of this router. [lastSentAt] is when this router last
 * sent it a request during that time.
 */
data class WarmUp(val endsAt: Timestamp, val lastSentAt: Timestamp? = null) {
    /** Whether the target warms up at [now]. */
    fun isActive(now: Timestamp): Boolean = now < endsAt

    /** A copy after a request was sent at [now]. */
    fun withSent(now: Timestamp): WarmUp = copy(lastSentAt = now)

    /** The share of its prompts that the target may serve at [now]. After the warm-up it grows to 1 in [duration]. */
    fun servedShare(duration: Duration, now: Timestamp): Double {
        val elapsed = (now - endsAt).coerceAtLeast(Duration.ZERO)
        return if (elapsed >= duration) 1.0 else elapsed / duration
    }

    companion object {
        /** A router may learn of the end of an evacuation before it learns that targets of the zone are warming up. */
        private val RETURN_DELAY = 2.seconds

        /** The warm-up of a target that is first seen with [entry] at [now]; null if it does not warm up. */
        fun first(entry: TargetEntry, now: Timestamp): WarmUp? =
            if (entry.warmUpRemaining > Duration.ZERO) WarmUp(endsAt = now + entry.warmUpRemaining) else null

        /**
         * The warm-up after [entry] replaced [before] at [now], both of the same process, and [current] was the warm-up
         * until then. A newer entry counts from now. Another one of the same age can only make the warm-up longer.
         */
        fun next(current: WarmUp?, before: TargetEntry, entry: TargetEntry, now: Timestamp): WarmUp? {
            val isUnchanged = entry.sequence == before.sequence && entry.warmUpRemaining == before.warmUpRemaining
            if (isUnchanged || entry.isOlderThan(before)) return current
            val stated = first(entry, now) ?: return current?.copy(endsAt = minOf(current.endsAt, now))
            val isLonger = current == null || stated.endsAt > current.endsAt
            val isNewer = entry.sequence > before.sequence
            return if (isNewer || isLonger) stated.copy(lastSentAt = current?.lastSentAt) else current
        }

        /** The warm-up after the end of the evacuation of a target's zone at [now], unless [current] ends later. */
        fun afterEvacuation(current: WarmUp?, now: Timestamp): WarmUp {
            val endsAt = now + RETURN_DELAY
            return current?.copy(endsAt = maxOf(current.endsAt, endsAt)) ?: WarmUp(endsAt)
        }
    }
}
