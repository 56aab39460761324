package org.cicadaarch.orders

import org.cicadaarch.model.Timestamp
import org.cicadaarch.model.store.LeaseId

/**
 * A store lease known to be valid until [validUntil] by this router's clock.
 *
 * [fencingToken] is the create revision of the group's key, null until the key is known to be bound to this lease; [heldAt]
 * is when that was learnt.
 */
data class HolderLease(
    val id: LeaseId,
    val validUntil: Timestamp,
    val renewAt: Timestamp,
    val fencingToken: Long? = null,
    val heldAt: Timestamp? = null,
)
