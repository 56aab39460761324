package org.cicadaarch.membership

/**
 * How far the comparison of tables has come: the [next] of [buckets] buckets, and whether a whole table was ever read.
 */
internal data class SyncProgress(val buckets: Int = 1, val next: Int = 0, val everCompleted: Boolean = false)
