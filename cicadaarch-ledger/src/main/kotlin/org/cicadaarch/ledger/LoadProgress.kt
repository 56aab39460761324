package org.cicadaarch.ledger

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.cicadaarch.model.store.StoredValue

/**
 * What was read of a shard so far: the [snapshot] once [isSnapshotRead], then segment values by slot in pages that go on
 * at [nextSlot].
 */
data class LoadProgress(
    val isSnapshotRead: Boolean = false,
    val snapshot: StoredValue? = null,
    val segments: PersistentMap<Int, StoredValue> = persistentMapOf(),
    val nextSlot: Int = 0,
)
