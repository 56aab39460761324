package org.cicadaarch.model.store

import kotlin.time.Duration

/**
 * A command to the platform's key-value store. Values are UTF-8 text; keys are paths separated by slashes.
 */
sealed class StoreCommand {
    /**
     * Reads [key]. Returns [StoreResult.Values] with one value, or none if the key does not exist. With
     * [mayBeStale], the store may answer with an older state, which costs it less.
     */
    data class Read(val key: String, val mayBeStale: Boolean = false) : StoreCommand()

    /** Reads up to [limit] values whose keys start with [prefix], in key order, starting at the key [from]. */
    data class ReadPrefix(val prefix: String, val from: String = prefix, val limit: Int) : StoreCommand()

    /** Writes [value] if [key] is as [expected]. Returns [StoreResult.Written] or [StoreResult.Conflict]. */
    data class CompareAndSet(
        val key: String,
        val expected: ExpectedState,
        val value: String,
        val lease: LeaseId? = null,
    ) : StoreCommand()

    /** Deletes [key] if it is as [expected]. Returns [StoreResult.Written] or [StoreResult.Conflict]. */
    data class CompareAndDelete(val key: String, val expected: ExpectedState) : StoreCommand()

    /** Grants a lease that expires after [timeToLive] unless it is renewed. */
    data class GrantLease(val timeToLive: Duration) : StoreCommand()

    /** Renews [lease] for its full time to live. */
    data class RenewLease(val lease: LeaseId) : StoreCommand()

    /** Revokes [lease] and deletes the keys attached to it. */
    data class RevokeLease(val lease: LeaseId) : StoreCommand()

    /**
     * Waits for up to [timeout] until a key with [prefix] changes after [after]. Returns [StoreResult.Values] with the
     * changed values, or with none if the timeout expired.
     */
    data class AwaitChange(val prefix: String, val after: StoreVersion, val timeout: Duration) : StoreCommand() {
        /** Waits for a change after [revision] of a store that has no eras. */
        constructor(prefix: String, revision: Long, timeout: Duration) :
            this(prefix, StoreVersion.ofRevision(revision), timeout)
    }
}
