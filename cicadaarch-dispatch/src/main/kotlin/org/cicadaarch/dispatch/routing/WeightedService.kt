package org.cicadaarch.dispatch.routing

import org.cicadaarch.model.ServiceName

/**
 * A destination of a route. Requests are split among the route's destinations in proportion to [weight], which is
 * positive.
 */
data class WeightedService(val service: ServiceName, val weight: Int)
