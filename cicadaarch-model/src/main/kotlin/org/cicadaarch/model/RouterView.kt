package org.cicadaarch.model

/**
 * One router's present list of live [routers], itself included. Two routers' views may differ for seconds.
 */
data class RouterView(val self: RouterId, val routers: Map<RouterId, RouterInfo>) {
    /** The routers that take roles: all that are not leaving. */
    val activeRouters: List<RouterInfo> = routers.values.filterNot { it.leaving }.sortedBy { it.id }
}
