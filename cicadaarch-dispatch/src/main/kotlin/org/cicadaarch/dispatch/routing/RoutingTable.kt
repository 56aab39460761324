package org.cicadaarch.dispatch.routing

import org.cicadaarch.model.ServiceName

/**
 * One version of the routing configuration set by operators. [accountsByKey] maps API keys to client accounts; it is
 * null if no route requires a key.
 */
class RoutingTable(
    val version: Long,
    routes: List<Route>,
    val services: Map<ServiceName, ServiceLimits>,
    val accountsByKey: Map<String, ClientAccount>?,
    val limits: ClientLimits,
) {
    private val routesByHost: Map<String, Map<String, Route>> =
        routes.groupBy { it.host }.mapValues { (_, hostRoutes) -> hostRoutes.associateBy { it.prefix } }

    /** Number of routes. */
    val size: Int = routes.size

    /**
     * The route of [host] with the longest prefix that [path] starts with, or null if there is none. [path] has no
     * query; only prefixes that end with a slash match.
     */
    fun route(host: String, path: String): Route? {
        val routesByPrefix = routesByHost[host] ?: return null
        var slash = path.lastIndexOf('/')
        while (slash >= 0) {
            routesByPrefix[path.substring(0, slash + 1)]?.let { return it }
            slash = if (slash == 0) -1 else path.lastIndexOf('/', slash - 1)
        }
        return null
    }

    /** Authorizes a request on [route] with the API key [key], null if it has none. */
    fun authorize(route: Route, key: String?): Authorization {
        val accounts = accountsByKey ?: return Authorization.NotRequired
        if (route.isPublic) return Authorization.NotRequired
        return key?.let { accounts[it] }?.let { Authorization.Granted(it) } ?: Authorization.Denied
    }
}
