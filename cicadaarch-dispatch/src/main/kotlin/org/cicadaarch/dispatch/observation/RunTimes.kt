package org.cicadaarch.dispatch.observation

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.cicadaarch.dispatch.routing.Route

/**
 * How long targets take for the requests on each route: an exponential moving average, of the latest [MAX_ROUTES].
 */
data class RunTimes(private val byRoute: PersistentMap<String, Duration> = persistentMapOf()) {
    /** The usual time for a request on [route]; [UNKNOWN] before the first one. */
    fun usual(route: Route): Duration = known(route) ?: UNKNOWN

    /** The usual time for a request on [route], or null before the first one has ended. */
    fun known(route: Route): Duration? = byRoute[route.name]

    /** A copy with a request on [route] that took [time]. */
    fun with(route: Route, time: Duration): RunTimes {
        val before = byRoute[route.name]
        val average = if (before == null) time else before + (time - before) * LATEST_WEIGHT
        val updated = byRoute.remove(route.name).put(route.name, average)
        return RunTimes(if (updated.size > MAX_ROUTES) updated.remove(updated.keys.first()) else updated)
    }

    companion object {
        /** The time for a request on a route of which none has ended. */
        val UNKNOWN = 1.seconds
        private const val LATEST_WEIGHT = 0.2
        private const val MAX_ROUTES = 256
    }
}
