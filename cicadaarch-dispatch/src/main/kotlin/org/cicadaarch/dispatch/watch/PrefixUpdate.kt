package org.cicadaarch.dispatch.watch

import kotlin.time.Duration
import org.cicadaarch.model.store.StoreVersion

/**
 * An update of the values below a prefix to the store's [version], sent from one router to another.
 *
 * It is a full snapshot if [baseVersion] is null, else it holds the keys written and removed after [baseVersion],
 * which is of the same era.
 * [expiring] holds the keys that disappeared around a store outage, each with the time for which its value is still
 * kept.
 */
data class PrefixUpdate(
    val baseVersion: StoreVersion?,
    val version: StoreVersion,
    val values: Map<String, String>,
    val removed: Set<String>,
    val expiring: Map<String, Duration>,
)
