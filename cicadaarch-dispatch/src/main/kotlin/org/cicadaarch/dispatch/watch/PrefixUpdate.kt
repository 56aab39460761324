package org.cicadaarch.dispatch.watch

import kotlin.time.Duration

/**
 * What one router knows of a prefix at the store's [revision] and another one does not: all values when
 * [baseRevision] is null, else what was written and removed after that revision. Values that [expiring] names vanished
 * around an outage and are to be kept for the time stated.
 */
data class PrefixUpdate(
    val baseRevision: Long?,
    val revision: Long,
    val values: Map<String, String>,
    val removed: Set<String>,
    val expiring: Map<String, Duration>,
)
