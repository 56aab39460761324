package org.cicadaarch.orders

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.cicadaarch.model.TargetId
import org.cicadaarch.model.Timestamp

/**
 * One group at a router that holds it or tries to. [numbers] counts its store calls, reads and orders.
 */
data class GroupState(
    val group: OrderGroup,
    val lease: HolderLease? = null,
    val call: LeaseCall? = null,
    val retryAt: Timestamp = Timestamp(Long.MIN_VALUE),
    val numbers: Long = 0,
    val engines: PersistentMap<TargetId, EngineProgress> = persistentMapOf(),
) {
    internal fun isAwaitingOrders(): Boolean = engines.values.any { it.exchange != null }
}
