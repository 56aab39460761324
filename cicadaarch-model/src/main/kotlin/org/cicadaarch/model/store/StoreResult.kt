package org.cicadaarch.model.store

import kotlin.time.Duration

/**
 * The result of a [StoreCommand].
 */
sealed class StoreResult {
    /** The [values] read, at the store's [version]. [hasMore] tells that more values with the prefix follow. */
    data class Values(val values: List<StoredValue>, val version: StoreVersion, val hasMore: Boolean = false) :
        StoreResult() {
        /** The [values] read at [revision] of a store that has no eras. */
        constructor(values: List<StoredValue>, revision: Long, hasMore: Boolean = false) :
            this(values, StoreVersion.ofRevision(revision), hasMore)
    }

    /** The write took effect at [version]. */
    data class Written(val version: StoreVersion) : StoreResult() {
        /** The write took effect at [revision] of a store that has no eras. */
        constructor(revision: Long) : this(StoreVersion.ofRevision(revision))
    }

    /** The write had no effect, since the key is not as expected but [current], or null if it does not exist. */
    data class Conflict(val current: StoredValue?) : StoreResult()

    /** The lease is valid for [timeToLive], counted from when the command was sent. */
    data class LeaseHeld(val lease: LeaseId, val timeToLive: Duration) : StoreResult()

    /** The lease has expired or was revoked. */
    data object LeaseLost : StoreResult()

    /** The store does not have the changes after the requested version; all values have to be read again. */
    data object Compacted : StoreResult()

    /** The command did not reach the store or the store rejected it. A write had no effect. */
    data class Refused(val reason: String) : StoreResult()

    /** No valid response arrived, so a write may have taken effect. [isTimeout] tells that none arrived in time. */
    data class Unanswered(val reason: String, val isTimeout: Boolean = false) : StoreResult()
}
