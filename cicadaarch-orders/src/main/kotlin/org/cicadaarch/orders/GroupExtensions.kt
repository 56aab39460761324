package org.cicadaarch.orders

import kotlinx.collections.immutable.persistentMapOf
import org.cicadaarch.model.Timestamp

/** The group without its lease. The engines are forgotten, so that a later lease reads every engine's state again. */
internal fun GroupState.withoutLease(retryAt: Timestamp): GroupState =
    copy(lease = null, retryAt = retryAt, engines = persistentMapOf())
