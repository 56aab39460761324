package org.cicadaarch.testkit

/**
 * A change in the store's history. [after] is null for a deletion.
 */
internal data class StoreChange(val revision: Long, val key: String, val after: StoreEntry?)
