package org.cicadaarch.dispatch.routing

import org.cicadaarch.model.ServiceName

/**
 * One of the services that share a route's requests in proportion to [weight], which is positive.
 */
data class WeightedService(val service: ServiceName, val weight: Int)
