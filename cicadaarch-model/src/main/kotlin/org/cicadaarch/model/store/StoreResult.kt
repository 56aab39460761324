package org.cicadaarch.model.store

import kotlin.time.Duration

/**
 * The result of a [StoreCommand].
 */
sealed class StoreResult {
    /** The [values] read, at the store's [revision]. [hasMore] tells that more values with the prefix follow. */
    data class Values(val values: List<StoredValue>, val revision: Long, val hasMore: Boolean = false) : StoreResult()

    /** The write took effect at [revision]. */
    data class Written(val revision: Long) : StoreResult()

    /** The write had no effect, since the key is not as expected but [current], or null if it does not exist. */
    data class Conflict(val current: StoredValue?) : StoreResult()

    /** The lease is valid for [timeToLive], counted from when the command was sent. */
    data class LeaseHeld(val lease: LeaseId, val timeToLive: Duration) : StoreResult()

    /** The lease has expired or was revoked. */
    data object LeaseLost : StoreResult()

    /** The store no longer keeps the changes after the requested revision; all values have to be read again. */
    data object Compacted : StoreResult()

    /** The command did not reach the store or the store rejected it. A write had no effect. */
    data class Refused(val reason: String) : StoreResult()

    /** No valid response arrived, so a write may have taken effect. [isTimeout] tells that none arrived in time. */
    data class Unanswered(val reason: String, val isTimeout: Boolean = false) : StoreResult()
}
