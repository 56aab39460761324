package org.cicadaarch.dispatch.routing

/**
 * The limits of a service. [connectionLimit] is the number of connections that each of its targets accepts from all
 * routers together.
 */
data class ServiceLimits(val connectionLimit: Int)
