package org.cicadaarch.model

import kotlin.time.Duration

/**
 * Bounds the calls of one caller, whatever the answers are: [burst] at once, and one more each interval. An interval
 * of zero sets no bound.
 *
 * [available] calls were left at [updatedAt].
 */
data class CallBudget(
    private val burst: Int = DEFAULT_BURST,
    private val available: Int = burst,
    private val updatedAt: Timestamp? = null,
) {
    /** When the next call may be sent, if one may be sent each [interval]; [now] if that is at once. */
    fun nextCallAt(now: Timestamp, interval: Duration): Timestamp {
        if (!interval.isPositive()) return now
        val refilled = refilled(now, interval)
        return if (refilled.available > 0) now else checkNotNull(refilled.updatedAt) + interval
    }

    /** The budget after a call at [now]. */
    fun afterCall(now: Timestamp, interval: Duration): CallBudget {
        if (!interval.isPositive()) return this
        val refilled = refilled(now, interval)
        return refilled.copy(available = refilled.available - 1)
    }

    private fun refilled(now: Timestamp, interval: Duration): CallBudget {
        val since = updatedAt ?: return copy(available = burst, updatedAt = now)
        val added = ((now - since) / interval).coerceAtMost(burst.toDouble()).toInt()
        if (available + added >= burst) return copy(available = burst, updatedAt = now)
        return copy(available = available + added, updatedAt = since + interval * added)
    }

    companion object {
        /** More calls than a full read of a large fleet takes. */
        const val DEFAULT_BURST = 8
    }
}
