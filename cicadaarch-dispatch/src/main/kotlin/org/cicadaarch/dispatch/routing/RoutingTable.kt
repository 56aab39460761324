package org.cicadaarch.dispatch.routing

import org.cicadaarch.model.ServiceName

/**
 * One version of the operators' configuration. [accountsByKey] is null when no route asks for a key.
 */
class RoutingTable(
    val version: Long,
    routes: List<Route>,
    val services: Map<ServiceName, ServiceLimits>,
    val accountsByKey: Map<String, ClientAccount>?,
    val limits: ClientLimits,
) {
    private val routesByHost: Map<String, Map<String, Route>> =
        routes.groupBy { it.host }.mapValues { (_, ofHost) -> ofHost.associateBy { it.prefix } }

    /** Number of routes. */
    val size: Int = routes.size

    /** The route of [host] with the longest prefix of [path], which has no query. */
    fun route(host: String, path: String): Route? {
        val byPrefix = routesByHost[host] ?: return null
        var end = path.lastIndexOf('/')
        while (end >= 0) {
            byPrefix[path.substring(0, end + 1)]?.let { return it }
            end = if (end == 0) -1 else path.lastIndexOf('/', end - 1)
        }
        return null
    }

    /** Finds the account of a request on [route] that carries [key]. */
    fun authorize(route: Route, key: String?): Authorization {
        val accounts = accountsByKey ?: return Authorization.NotRequired
        if (route.isPublic) return Authorization.NotRequired
        return key?.let { accounts[it] }?.let { Authorization.Granted(it) } ?: Authorization.Denied
    }
}
