package org.cicadaarch.membership

/**
 * How far the comparison of tables has come: the [next] of [buckets] buckets is to be compared.
 */
internal data class SyncProgress(val buckets: Int = 1, val next: Int = 0)
