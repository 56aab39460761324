package org.cicadaarch.quota

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit
import org.cicadaarch.model.Timestamp

/**
 * The quota of one account at one ingress: token buckets that are refilled at the rates of [share], the number of
 * requests [inFlight], and the [demand] since [windowStart].
 */
data class LocalQuota(
    val share: QuotaAmounts,
    val bucket: QuotaAmounts,
    val refilledAt: Timestamp,
    val shareExpiresAt: Timestamp? = null,
    val inFlight: Int = 0,
    val demand: QuotaAmounts = QuotaAmounts.ZERO,
    val smoothedDemand: QuotaAmounts = QuotaAmounts.ZERO,
    val windowStart: Timestamp = refilledAt,
    val lastRequestAt: Timestamp = refilledAt,
) {
    /** Returns the quota with its buckets refilled up to [now]; [burst] is the most that they hold. */
    internal fun refilled(burst: QuotaAmounts, now: Timestamp): LocalQuota {
        val seconds = (now - refilledAt).toDouble(DurationUnit.SECONDS)
        return copy(bucket = (bucket + share * seconds).combine(burst, ::minOf), refilledAt = now)
    }

    /** Returns the quota after a request with [tokens] was checked and, if [admitted], let in. */
    internal fun withRequest(tokens: Int, admitted: Boolean, now: Timestamp): LocalQuota {
        val amounts = QuotaAmounts(requests = 1.0, tokens = tokens.toDouble())
        return copy(
            bucket = if (admitted) bucket - amounts else bucket,
            inFlight = if (admitted) inFlight + 1 else inFlight,
            demand = demand + amounts + QuotaAmounts(concurrent = if (admitted) 0.0 else 1.0),
            lastRequestAt = now,
        )
    }

    /** Returns the quota with its smoothed demand updated, if the current window of demand has ended. */
    internal fun withMeasuredDemand(now: Timestamp): LocalQuota {
        val window = now - windowStart
        if (window < DEMAND_WINDOW) return this
        val rate = demand * (1.0 / window.toDouble(DurationUnit.SECONDS))
        val latest = rate.copy(concurrent = inFlight + demand.concurrent)
        return copy(
            smoothedDemand = smoothedDemand.combine(latest) { old, new -> old + (new - old) * SMOOTHING },
            demand = QuotaAmounts.ZERO,
            windowStart = now,
        )
    }

    /**
     * Whether the account has been idle for long enough to drop its quota: for the time that refills one request, but
     * at least [IDLE_AFTER] and at most [MAXIMUM_WAIT]. A new quota starts with full buckets.
     */
    internal fun canBeRemoved(now: Timestamp): Boolean {
        val refillTime = (1.0 / maxOf(share.requests, MINIMUM_RATE)).seconds.coerceIn(IDLE_AFTER, MAXIMUM_WAIT)
        return inFlight == 0 && now - lastRequestAt > refillTime
    }

    /** Whether the account had requests recently, so that it needs a share from the owner. */
    internal fun isActive(now: Timestamp): Boolean = inFlight > 0 || now - lastRequestAt <= IDLE_AFTER

    /**
     * The time until a request with [tokens] can be admitted at the current share: until the buckets hold one request
     * and one token (a request may overdraw the token bucket).
     */
    internal fun retryAfter(tokens: Int): Duration {
        val requestWait = (1.0 - bucket.requests) / maxOf(share.requests, MINIMUM_RATE)
        val tokenWait = (minOf(tokens.toDouble(), 1.0) - bucket.tokens) / maxOf(share.tokens, MINIMUM_RATE)
        return maxOf(requestWait, tokenWait, 0.0).coerceAtMost(MAXIMUM_WAIT.toDouble(DurationUnit.SECONDS)).seconds
    }

    private companion object {
        val DEMAND_WINDOW = 500.milliseconds
        val IDLE_AFTER = 5.seconds
        val MAXIMUM_WAIT = 60.seconds
        const val SMOOTHING = 0.25
        const val MINIMUM_RATE = 1e-3
    }
}
