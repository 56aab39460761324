package org.cicadaarch.request

import org.cicadaarch.model.Outcome

/**
 * The ledger's answer to the claim of an idempotency key.
 */
sealed class ClaimResult {
    /** The key belongs to this request from now on. */
    data object Granted : ClaimResult()

    /** Another request holds the key; [outcome] is how it ended, null while it runs. */
    data class Taken(val outcome: Outcome?) : ClaimResult()

    /** The ledger could not record the claim and never will for this request. */
    data object Unavailable : ClaimResult()
}
