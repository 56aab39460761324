package org.cicadaarch.model.store

/**
 * The [value] of [key] in the store, null if the key was deleted.
 *
 * [createRevision] is the store's revision when the key was created, [revision] the one when it was last written. The
 * key is deleted when its [lease] expires or is revoked. Both revisions are of the store's [era] at the time of the
 * read.
 */
data class StoredValue(
    val key: String,
    val value: String?,
    val createRevision: Long,
    val revision: Long,
    val lease: LeaseId? = null,
    val era: Long = 0,
) {
    /** The version at which the key was last written. */
    val version: StoreVersion get() = StoreVersion(era, revision)
}
