package org.cicadaarch.membership

/**
 * Progress of an anti-entropy exchange: [next] is the index of the first of [buckets] buckets still to be compared.
 */
internal data class SyncProgress(val buckets: Int = 1, val next: Int = 0)
