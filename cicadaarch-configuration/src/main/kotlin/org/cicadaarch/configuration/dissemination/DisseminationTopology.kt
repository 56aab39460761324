package org.cicadaarch.configuration.dissemination

import org.cicadaarch.model.RegionName
import org.cicadaarch.model.RouterId
import org.cicadaarch.model.RouterInfo
import org.cicadaarch.model.RouterView
import org.cicadaarch.placement.RendezvousHash

/**
 * Who watches the store and who passes revisions to whom, as one router sees it.
 *
 * [watchers] are those of each region, the first one first. [roots] and [children] belong to the trees over the
 * router's own region; each tree has an order of its own, so that a stopped router rarely cuts a router off in all.
 */
data class DisseminationTopology(
    val watchers: Map<RegionName, List<RouterId>>,
    val roots: Set<RouterId>,
    val children: Set<RouterId>,
) {
    companion object {
        private const val WATCHER_KEY = "configuration/watcher/"
        private const val TREE_KEY = "configuration/tree/"

        /** The topology by [view]; a region without routers that take roles has no watchers. */
        fun of(view: RouterView, settings: ConfigurationSettings): DisseminationTopology {
            val region = view.routers[view.self]?.region
            val regional = view.routers.values.filter { it.region == region }
            val trees = (0 until settings.trees).map { order(TREE_KEY + it, regional) }
            return DisseminationTopology(
                watchers = view.activeRouters.groupBy { it.region }.mapValues { (name, holders) ->
                    order(WATCHER_KEY + name, holders).take(settings.watchersPerRegion)
                },
                roots = trees.mapNotNullTo(mutableSetOf()) { it.firstOrNull() } - view.self,
                children = trees.flatMapTo(mutableSetOf()) { childrenIn(it, view.self, settings.fanOut) },
            )
        }

        private fun order(key: String, routers: Collection<RouterInfo>): List<RouterId> =
            RendezvousHash.rank(key = key, members = routers, name = { it.id.value }).map { it.id }

        private fun childrenIn(tree: List<RouterId>, self: RouterId, fanOut: Int): List<RouterId> {
            val first = tree.indexOf(self) * fanOut + 1
            return if (first <= 0) emptyList() else tree.drop(first).take(fanOut)
        }
    }
}
