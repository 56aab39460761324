package org.cicadaarch.orders

import org.cicadaarch.model.Timestamp
import org.cicadaarch.model.store.LeaseId

/**
 * A lease in the store, known to be valid until [validUntil] by this router's clock.
 *
 * [fencingToken] is the create revision of the group's key, null until the key is known to be bound to this lease;
 * [acquiredAt] is when this router learned that.
 */
data class HolderLease(
    val id: LeaseId,
    val validUntil: Timestamp,
    val renewAt: Timestamp,
    val fencingToken: Long? = null,
    val acquiredAt: Timestamp? = null,
)
