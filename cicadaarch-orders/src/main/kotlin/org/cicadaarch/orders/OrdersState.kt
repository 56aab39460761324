package org.cicadaarch.orders

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.cicadaarch.model.RouterView
import org.cicadaarch.model.fleet.FleetDocument

/**
 * The order holders of one router: the groups that it held or tried to hold since it started.
 */
data class OrdersState(
    val view: RouterView,
    val fleet: FleetDocument? = null,
    val groups: PersistentMap<OrderGroup, GroupState> = persistentMapOf(),
)
