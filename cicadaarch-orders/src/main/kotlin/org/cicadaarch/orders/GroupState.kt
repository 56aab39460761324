package org.cicadaarch.orders

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.cicadaarch.model.TargetId
import org.cicadaarch.model.Timestamp

/**
 * The state of one group at a router that holds it, tries to acquire it or is releasing it.
 *
 * [lastNumber] is the number of the latest store call, state read or order; all three share one sequence. [call] is the
 * store call that has not completed yet, and no store call starts before [retryAt].
 */
data class GroupState(
    val group: OrderGroup,
    val lease: HolderLease? = null,
    val call: LeaseCall? = null,
    val retryAt: Timestamp = Timestamp(Long.MIN_VALUE),
    val lastNumber: Long = 0,
    val engines: PersistentMap<TargetId, TrackedEngine> = persistentMapOf(),
) {
    internal fun hasPendingEngineCalls(): Boolean = engines.values.any { it.pendingCall != null }
}
