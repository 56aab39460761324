package org.cicadaarch.quota

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit
import org.cicadaarch.model.Timestamp

/**
 * One account at one ingress: token buckets filled at the borrowed [share], the requests [inFlight], and the demand
 * since [windowStart].
 */
data class LocalQuota(
    val share: QuotaAmounts,
    val bucket: QuotaAmounts,
    val filledAt: Timestamp,
    val shareUntil: Timestamp? = null,
    val inFlight: Int = 0,
    val demand: QuotaAmounts = QuotaAmounts.NONE,
    val smoothedDemand: QuotaAmounts = QuotaAmounts.NONE,
    val windowStart: Timestamp = filledAt,
    val lastOffered: Timestamp = filledAt,
) {
    /** The buckets filled up to [now]; [burst] is the share of the burst that they hold at most. */
    internal fun filled(burst: QuotaAmounts, now: Timestamp): LocalQuota {
        val seconds = (now - filledAt).toDouble(DurationUnit.SECONDS)
        return copy(bucket = (bucket + share * seconds).combine(burst, ::minOf), filledAt = now)
    }

    internal fun offered(tokens: Int, admitted: Boolean, now: Timestamp): LocalQuota {
        val amounts = QuotaAmounts(requests = 1.0, tokens = tokens.toDouble())
        return copy(
            bucket = if (admitted) bucket - amounts else bucket,
            inFlight = if (admitted) inFlight + 1 else inFlight,
            demand = demand + amounts + QuotaAmounts(concurrent = if (admitted) 0.0 else 1.0),
            lastOffered = now,
        )
    }

    /** Closes the window of demand when it has lasted long enough. */
    internal fun measured(now: Timestamp): LocalQuota {
        val window = now - windowStart
        if (window < WINDOW) return this
        val rate = demand * (1.0 / window.toDouble(DurationUnit.SECONDS))
        val latest = rate.copy(concurrent = inFlight + demand.concurrent)
        return copy(
            smoothedDemand = smoothedDemand.combine(latest) { old, new -> old + (new - old) * SMOOTHING },
            demand = QuotaAmounts.NONE,
            windowStart = now,
        )
    }

    /** Whether the account was quiet for so long that a new record would have no fuller buckets. */
    internal fun isForgettable(now: Timestamp): Boolean {
        val refill = (1.0 / maxOf(share.requests, SMALLEST_RATE)).seconds.coerceIn(QUIET_AFTER, LONGEST_WAIT)
        return inFlight == 0 && now - lastOffered > refill
    }

    /** Whether requests came lately, so that a share is worth a message. */
    internal fun isBusy(now: Timestamp): Boolean = inFlight > 0 || now - lastOffered <= QUIET_AFTER

    /** How long until the buckets hold a request of [tokens], at the present share. */
    internal fun waitFor(tokens: Int): Duration {
        val requests = (1.0 - bucket.requests) / maxOf(share.requests, SMALLEST_RATE)
        val missing = (minOf(tokens.toDouble(), 1.0) - bucket.tokens) / maxOf(share.tokens, SMALLEST_RATE)
        return maxOf(requests, missing, 0.0).coerceAtMost(LONGEST_WAIT.toDouble(DurationUnit.SECONDS)).seconds
    }

    private companion object {
        val WINDOW = 500.milliseconds
        val QUIET_AFTER = 5.seconds
        val LONGEST_WAIT = 60.seconds
        const val SMOOTHING = 0.25
        const val SMALLEST_RATE = 1e-3
    }
}
