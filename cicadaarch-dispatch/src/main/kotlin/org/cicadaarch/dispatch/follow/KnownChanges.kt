package org.cicadaarch.dispatch.follow

import kotlin.time.Duration

/**
 * What one router knows of a prefix at the store's [revision] and another one does not: all values when [since] is
 * null, else what was written and removed after that revision. Values that [settling] names vanished around an outage
 * and are to be kept for the time stated.
 */
data class KnownChanges(
    val since: Long?,
    val revision: Long,
    val values: Map<String, String>,
    val removed: Set<String>,
    val settling: Map<String, Duration>,
)
