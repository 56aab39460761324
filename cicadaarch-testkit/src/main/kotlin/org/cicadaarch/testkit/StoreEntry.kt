package org.cicadaarch.testkit

/**
 * A key's state in the store. [key] holds one byte per character and [value] is base64, as on the wire.
 */
internal data class StoreEntry(
    val key: String,
    val value: String,
    val createRevision: Long,
    val modifyRevision: Long,
    val version: Long,
    val lease: Long,
)
