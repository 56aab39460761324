package org.cicadaarch.model.store

/**
 * Identifies a lease in the store.
 */
@JvmInline
value class LeaseId(val value: Long)
