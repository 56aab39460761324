package org.cicadaarch.request

import org.cicadaarch.model.Outcome

/**
 * The result of claiming an idempotency key in the ledger.
 */
sealed class ClaimResult {
    /** The claim was recorded: this request owns the key. */
    data object Granted : ClaimResult()

    /** Another request owns the key. [outcome] is how that request ended, or null while it is running. */
    data class Taken(val outcome: Outcome?) : ClaimResult()

    /** The claim was not recorded, and the ledger will not record it later for this request. */
    data object Unavailable : ClaimResult()
}
