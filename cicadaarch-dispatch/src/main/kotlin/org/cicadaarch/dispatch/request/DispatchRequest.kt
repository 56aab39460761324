package org.cicadaarch.dispatch.request

import kotlin.time.Duration
import org.cicadaarch.dispatch.routing.Route
import org.cicadaarch.model.ServiceName

/**
 * A request to be sent to a target of [service] as [route] allows, within [timeAllowed] of its arrival.
 *
 * [priority] is 0 for the most urgent. [promptKey] names the part of the prompt that other requests share, if any.
 */
data class DispatchRequest(
    val id: ExchangeId,
    val route: Route,
    val service: ServiceName,
    val priority: Int,
    val timeAllowed: Duration,
    val promptKey: String?,
)
