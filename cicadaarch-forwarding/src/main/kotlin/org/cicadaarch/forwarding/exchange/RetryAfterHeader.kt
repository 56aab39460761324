package org.cicadaarch.forwarding.exchange

import kotlin.time.Duration

/** The value of the Retry-After header: seconds, with fractions. */
internal object RetryAfterHeader {
    private const val MILLISECONDS_PER_SECOND = 1_000.0

    /** The value for a client that may come back after [delay]. */
    fun text(delay: Duration): String = (delay.inWholeMilliseconds / MILLISECONDS_PER_SECOND).toString()
}
