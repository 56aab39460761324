package org.cicadaarch.ledger

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.cicadaarch.model.store.StoredValue

/**
 * The part of a shard read from the store so far: first the [snapshot], null if the store has none, then the
 * [segments] by slot, in pages. The next page starts at [nextSlot].
 */
data class LoadProgress(
    val isSnapshotRead: Boolean = false,
    val snapshot: StoredValue? = null,
    val segments: PersistentMap<Int, StoredValue> = persistentMapOf(),
    val nextSlot: Int = 0,
)
