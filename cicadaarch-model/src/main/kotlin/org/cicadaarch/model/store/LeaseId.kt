package org.cicadaarch.model.store

/**
 * Identifies a lease of the store.
 */
@JvmInline
value class LeaseId(val value: Long)
