package org.cicadaarch.dispatch.warmup

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.cicadaarch.model.Timestamp

/**
 * The short windows of time in which a router may send one request to a target that warms up, so that the target gets
 * at most [limit] requests in any second from all routers, which agree on nothing.
 *
 * The windows recur with a period for [MAX_ROUTERS] routers; where in the period they lie is random for each router and
 * target. An unused window is lost: routers that all become short of capacity at one time find few windows open.
 */
internal class SendWindows(limit: Double) {
    private val period: Duration = (LIMIT_INTERVAL + LENGTH) * (MAX_ROUTERS / RateBound.meanFor(limit))
    private val periodMillis: Double = period.inWholeMilliseconds.coerceIn(1, MAX_PERIOD_MILLIS).toDouble()

    /**
     * Whether a request may be sent at [now], if the last one was sent at [lastSentAt]. [phase], from 0 to 1, is the
     * place of the windows in the period.
     */
    fun isOpen(phase: Double, lastSentAt: Timestamp?, now: Timestamp): Boolean {
        val isUsed = lastSentAt != null && now - lastSentAt <= LENGTH
        return !isUsed && millisSinceOpening(phase, now) <= LENGTH.inWholeMilliseconds
    }

    /** When the next window opens after [now]. */
    fun nextOpening(phase: Double, now: Timestamp): Timestamp =
        Timestamp(now.milliseconds + (periodMillis - millisSinceOpening(phase, now)).toLong() + 1)

    private fun millisSinceOpening(phase: Double, now: Timestamp): Double =
        (now.milliseconds - phase * periodMillis).mod(periodMillis)

    companion object {
        /**
         * Routers that a fleet may have, with room for processes that are being replaced. No router knows how many
         * there are: each keeps the addresses of some of the others.
         */
        const val MAX_ROUTERS = 160

        /** The interval over which the limit counts. */
        private val LIMIT_INTERVAL: Duration = 1.seconds

        /** Long enough that a router which is short of capacity has a request to send. */
        private val LENGTH: Duration = 250.milliseconds

        /** Keeps the arithmetic exact if the limit allows almost nothing. */
        private const val MAX_PERIOD_MILLIS = 1_000_000_000_000L
    }
}
