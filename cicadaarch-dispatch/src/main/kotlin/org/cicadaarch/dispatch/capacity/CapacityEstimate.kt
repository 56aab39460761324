package org.cicadaarch.dispatch.capacity

import kotlin.math.pow
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.cicadaarch.model.Timestamp

/**
 * The estimate of the [capacity] of a target that is or recently was slow, as of [updatedAt].
 *
 * It was last lowered at [loweredAt]. Up to [fastGrowthLimit] the share doubles every [DOUBLING_TIME] once responses
 * come in time again; above that, where the target was slow before, it grows by [GROWTH_PER_SECOND].
 */
data class CapacityEstimate(
    val capacity: TargetCapacity,
    private val fastGrowthLimit: Double,
    private val loweredAt: Timestamp,
    private val updatedAt: Timestamp,
) {
    /** Whether the target has had its full share for so long that its slowness counts as over. */
    fun isOver(now: Timestamp): Boolean = capacity.share >= 1.0 && now - loweredAt > RETENTION

    /** The estimate at [now]; [relativeTime] is null if there are too few responses to tell. */
    fun updated(relativeTime: Double?, now: Timestamp): CapacityEstimate {
        val next = when {
            relativeTime == null -> grown(now, isOnTime = false)
            relativeTime >= SLOW -> lowered(relativeTime, now)
            relativeTime >= RECOVERED -> this
            else -> grown(now, isOnTime = true)
        }
        val capacity = next.capacity.copy(relativeTime = relativeTime ?: capacity.relativeTime)
        return next.copy(capacity = capacity, updatedAt = now)
    }

    private fun lowered(relativeTime: Double, now: Timestamp): CapacityEstimate {
        if (capacity.isProbed || now - loweredAt < REACTION_TIME) return this
        val share = (capacity.share / relativeTime).coerceAtLeast(TargetCapacity.MIN_SHARE)
        val good = if (capacity.share > RELAPSE_SHARE) capacity.share / 2 else fastGrowthLimit
        return copy(capacity = capacity.copy(share = share), fastGrowthLimit = good, loweredAt = now)
    }

    private fun grown(now: Timestamp, isOnTime: Boolean): CapacityEstimate {
        val share = capacity.share
        val time = now - updatedAt
        val next = if (isOnTime && share < fastGrowthLimit) {
            (share * 2.0.pow(time / DOUBLING_TIME)).coerceAtMost(fastGrowthLimit)
        } else {
            share + GROWTH_PER_SECOND * (time / 1.seconds)
        }
        return copy(capacity = capacity.copy(share = next.coerceAtMost(1.0)))
    }

    companion object {
        /** A target is slow from this multiple of the middle target's time on. */
        const val SLOW = 3.0

        /** Below this multiple, a slow target gets more again. */
        private const val RECOVERED = 2.7
        private val DOUBLING_TIME = 500.milliseconds
        private const val GROWTH_PER_SECOND = 0.05

        /** By then, most responses are to requests that were sent after the share was lowered. */
        private val REACTION_TIME = 1_500.milliseconds
        private val RETENTION = 20.seconds

        /** Only a target that was slow above this share gets a new limit for fast growth. */
        private const val RELAPSE_SHARE = 0.6

        /** The estimate of a target that has become slow. */
        fun slow(relativeTime: Double, now: Timestamp) = CapacityEstimate(
            capacity = TargetCapacity(TargetCapacity.MIN_SHARE, relativeTime),
            fastGrowthLimit = 1.0,
            loweredAt = now,
            updatedAt = now,
        )
    }
}
