package org.cicadaarch.model

/**
 * The live [routers] that one router, [self], currently knows, itself included. The views of two routers may differ for
 * seconds.
 */
data class RouterView(val self: RouterId, val routers: Map<RouterId, RouterInfo>) {
    /** The routers that are not leaving, sorted by id. Only these own targets, ledger shards and other roles. */
    val activeRouters: List<RouterInfo> = routers.values.filterNot { it.leaving }.sortedBy { it.id }
}
