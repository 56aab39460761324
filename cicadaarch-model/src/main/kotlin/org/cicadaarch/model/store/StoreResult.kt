package org.cicadaarch.model.store

import kotlin.time.Duration

/**
 * The answer to a [StoreCommand].
 */
sealed class StoreResult {
    /** What was read, at the store's [revision]; a read of a prefix [hasMore] values after these. */
    data class Values(val values: List<StoredValue>, val revision: Long, val hasMore: Boolean = false) : StoreResult()

    /** The write took effect at [revision]. */
    data class Written(val revision: Long) : StoreResult()

    /** The write had no effect since the key is as [current], null when it does not exist. */
    data class Conflict(val current: StoredValue?) : StoreResult()

    /** The lease is held for [timeToLive] from when the command was sent. */
    data class LeaseHeld(val lease: LeaseId, val timeToLive: Duration) : StoreResult()

    /** The lease does not exist any more. */
    data object LeaseLost : StoreResult()

    /** The changes after the asked revision are no longer kept: everything has to be read again. */
    data object Compacted : StoreResult()

    /** The command did not reach the store or was refused by it: a write had no effect. */
    data class Refused(val reason: String) : StoreResult()

    /** No answer came: a write may have taken effect. [isTimeout] when nothing was heard until the time was over. */
    data class Unanswered(val reason: String, val isTimeout: Boolean = false) : StoreResult()
}
