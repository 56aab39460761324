package org.cicadaarch.dispatch.admission

import kotlin.time.Duration
import org.cicadaarch.dispatch.request.RequestWork
import org.cicadaarch.dispatch.routing.Route

/**
 * Requests of [account] on [route], [perSecond] on average. Each keeps a slot for [runTime]; before that, its target
 * reads [work]'s prompt, if it has one.
 */
internal data class SimulatedKind(
    val name: String,
    val account: String,
    val route: Route,
    val perSecond: Double,
    val runTime: Duration,
    val priority: Int = 0,
    val work: RequestWork? = null,
    val largeWork: RequestWork? = null,
    val client: SimulatedClient = SimulatedClient.NONE,
    val surge: SimulatedSurge? = null,
) {
    /** The rate of arrivals at [time]. */
    fun perSecond(time: Duration): Double = if (surge != null &&
        time >= surge.start
    ) {
        perSecond * surge.factor
    } else {
        perSecond
    }
}
