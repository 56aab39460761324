package org.cicadaarch.orders

import kotlinx.collections.immutable.persistentMapOf
import org.cicadaarch.model.Timestamp

/** The group given up: a later lease reads every engine's state anew. */
internal fun GroupState.withoutLease(retryAt: Timestamp): GroupState =
    copy(lease = null, retryAt = retryAt, engines = persistentMapOf())
