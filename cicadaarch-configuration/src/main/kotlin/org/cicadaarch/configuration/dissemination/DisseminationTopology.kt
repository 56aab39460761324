package org.cicadaarch.configuration.dissemination

import org.cicadaarch.model.RegionName
import org.cicadaarch.model.RouterId
import org.cicadaarch.model.RouterInfo
import org.cicadaarch.model.RouterView
import org.cicadaarch.placement.RendezvousHash

/**
 * The routers that watch the store, and the dissemination trees, as computed by one router from its view.
 *
 * [watchers] lists the watchers of each region by rank. [roots] and [children] are the tree roots and this router's
 * children in the trees of its own region. Each tree orders the routers differently, so that a stopped router rarely
 * disconnects another one in all trees.
 */
data class DisseminationTopology(
    val watchers: Map<RegionName, List<RouterId>>,
    val roots: Set<RouterId>,
    val children: Set<RouterId>,
) {
    companion object {
        private const val WATCHER_KEY = "configuration/watcher/"
        private const val TREE_KEY = "configuration/tree/"

        /** Computes the topology from [view]. A region without active routers has no watchers. */
        fun of(view: RouterView, settings: ConfigurationSettings): DisseminationTopology {
            val region = view.routers[view.self]?.region
            val regional = view.routers.values.filter { it.region == region }
            val trees = (0 until settings.trees).map { rank(TREE_KEY + it, regional) }
            return DisseminationTopology(
                watchers = view.activeRouters.groupBy { it.region }.mapValues { (name, routers) ->
                    rank(WATCHER_KEY + name, routers).take(settings.watchersPerRegion)
                },
                roots = trees.mapNotNullTo(mutableSetOf()) { it.firstOrNull() } - view.self,
                children = trees.flatMapTo(mutableSetOf()) { childrenIn(it, view.self, settings.fanOut) },
            )
        }

        private fun rank(key: String, routers: Collection<RouterInfo>): List<RouterId> =
            RendezvousHash.rank(key = key, members = routers, name = { it.id.value }).map { it.id }

        private fun childrenIn(tree: List<RouterId>, self: RouterId, fanOut: Int): List<RouterId> {
            val first = tree.indexOf(self) * fanOut + 1
            return if (first <= 0) emptyList() else tree.drop(first).take(fanOut)
        }
    }
}
