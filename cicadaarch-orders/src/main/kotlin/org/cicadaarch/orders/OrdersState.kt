package org.cicadaarch.orders

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.cicadaarch.model.RouterView
import org.cicadaarch.model.fleet.FleetDocument

/**
 * The state of [OrdersReducer]. [groups] are the groups that this router has held or tried to acquire since its start.
 */
data class OrdersState(
    val view: RouterView,
    val fleet: FleetDocument? = null,
    val groups: PersistentMap<OrderGroup, GroupState> = persistentMapOf(),
)
