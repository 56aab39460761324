package org.cicadaarch.model.store

import kotlin.time.Duration

/**
 * A call to the platform's key-value service. Values are UTF-8 text; keys are paths with slashes.
 */
sealed class StoreCommand {
    /** Reads [key]; answered by [StoreResult.Values] with no or one value. */
    data class Read(val key: String) : StoreCommand()

    /** Reads up to [limit] values whose keys start with [prefix], from [from] on, in key order. */
    data class ReadPrefix(val prefix: String, val from: String = prefix, val limit: Int) : StoreCommand()

    /** Writes [value] if [key] is as [expected]; answered by [StoreResult.Written] or [StoreResult.Conflict]. */
    data class CompareAndSet(
        val key: String,
        val expected: ExpectedState,
        val value: String,
        val lease: LeaseId? = null,
    ) : StoreCommand()

    /** Deletes [key] if it is as [expected]; answered by [StoreResult.Written] or [StoreResult.Conflict]. */
    data class CompareAndDelete(val key: String, val expected: ExpectedState) : StoreCommand()

    /** Grants a lease that lapses after [timeToLive] without a renewal. */
    data class GrantLease(val timeToLive: Duration) : StoreCommand()

    /** Renews [lease] for its whole time to live. */
    data class RenewLease(val lease: LeaseId) : StoreCommand()

    /** Ends [lease] and deletes the keys bound to it. */
    data class RevokeLease(val lease: LeaseId) : StoreCommand()

    /**
     * Waits for a change of a key with [prefix] after [afterRevision], at most for [timeout]; answered by
     * [StoreResult.Values] with the changed values, none on timeout.
     */
    data class AwaitChange(val prefix: String, val afterRevision: Long, val timeout: Duration) : StoreCommand()
}
