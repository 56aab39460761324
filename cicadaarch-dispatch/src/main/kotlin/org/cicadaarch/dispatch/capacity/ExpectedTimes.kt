package org.cicadaarch.dispatch.capacity

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/**
 * How long a response is expected to take to its first part, by route and number of prompt tokens that are not cached.
 * Only the latest [MAX_ROUTES] are kept.
 */
data class ExpectedTimes(private val byRoute: PersistentMap<String, TimeRegression> = persistentMapOf()) {
    /** The expected time on [route]; null if too few responses are known. */
    fun of(route: String, uncachedTokens: Int): Duration? =
        byRoute[route]?.predict(uncachedTokens.toDouble())?.let { maxOf(it.milliseconds, MIN_TIME) }

    /** A copy with a response on [route] that took [time]. */
    fun with(route: String, uncachedTokens: Int, time: Duration): ExpectedTimes {
        val regression = (byRoute[route] ?: TimeRegression())
            .with(uncachedTokens.toDouble(), time.inWholeMicroseconds / MICROSECONDS)
        val updated = byRoute.remove(route).put(route, regression)
        return ExpectedTimes(if (updated.size > MAX_ROUTES) updated.remove(updated.keys.first()) else updated)
    }

    companion object {
        private const val MAX_ROUTES = 256
        private const val MICROSECONDS = 1_000.0

        /** Shorter times are made up of what the router itself takes, and tell nothing of a target. */
        val MIN_TIME = 2.milliseconds
    }
}
