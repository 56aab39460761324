package org.cicadaarch.dispatch.watch

import kotlin.time.Duration

/**
 * An update of the values below a prefix to the store's [revision], sent from one router to another.
 *
 * It is a full snapshot if [baseRevision] is null, else it holds the keys written and removed after [baseRevision].
 * [expiring] holds the keys that disappeared around a store outage, each with the time for which its value is still
 * kept.
 */
data class PrefixUpdate(
    val baseRevision: Long?,
    val revision: Long,
    val values: Map<String, String>,
    val removed: Set<String>,
    val expiring: Map<String, Duration>,
)
