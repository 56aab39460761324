package org.cicadaarch.dispatch.routing

import org.cicadaarch.dispatch.warmup.WarmUpLimit

/**
 * The limits of a service. [connectionLimit] is the number of connections that each of its targets accepts from all
 * routers together, [warmUp] is null if its targets take their whole load from the start, [cacheTokens] is the memory
 * of a target in tokens, null if it is not known.
 */
data class ServiceLimits(val connectionLimit: Int, val warmUp: WarmUpLimit? = null, val cacheTokens: Int? = null)
