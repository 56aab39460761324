package org.cicadaarch.model.store

/**
 * A value of the store. [createRevision] is the store's revision when [key] was created, [revision] when it was last
 * written; a deleted key has no [value].
 */
data class StoredValue(
    val key: String,
    val value: String?,
    val createRevision: Long,
    val revision: Long,
    val lease: LeaseId? = null,
)
