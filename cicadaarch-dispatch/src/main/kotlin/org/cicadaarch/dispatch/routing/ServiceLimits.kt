package org.cicadaarch.dispatch.routing

/**
 * What the configuration says of a service: each of its targets takes [connectionLimit] connections from all routers
 * together.
 */
data class ServiceLimits(val connectionLimit: Int)
