package org.cicadaarch.ledger

import kotlin.time.Duration
import org.cicadaarch.model.AccountId
import org.cicadaarch.model.IdempotencyKey
import org.cicadaarch.model.Outcome
import org.cicadaarch.model.RequestId
import org.cicadaarch.model.RouterId
import org.cicadaarch.model.RouterView

/**
 * Events of [ClaimantReducer] at one ingress.
 */
sealed class ClaimantEvent {
    /**
     * [request] with the idempotency key [key] arrived. It must not run before its claim is granted, for which it waits
     * up to [timeAllowed].
     */
    data class ClaimRequested(
        val request: RequestId,
        val account: AccountId,
        val key: IdempotencyKey,
        val timeAllowed: Duration,
    ) : ClaimantEvent()

    /**
     * [request] ended with [outcome], before or after its claim was granted. [digest], of at most 64 characters,
     * identifies a complete response. [Outcome.NOT_RUN] may be reported only if no byte was or will be sent to a
     * target, because it frees the key.
     */
    data class RequestEnded(val request: RequestId, val outcome: Outcome, val digest: String? = null) :
        ClaimantEvent() {
        init {
            require((digest?.length ?: 0) <= MAXIMUM_DIGEST_LENGTH) {
                "digest of request $request must have at most $MAXIMUM_DIGEST_LENGTH characters, has ${digest?.length}"
            }
        }
    }

    /** [message] arrived from the shard owner at router [from]. */
    data class Received(val from: RouterId, val message: LedgerMessage.ForIngress) : ClaimantEvent()

    /** The view of the live routers changed. */
    data class RoutersChanged(val view: RouterView) : ClaimantEvent()

    /** The periodic tick, every 100 ms. */
    data object Tick : ClaimantEvent()

    private companion object {
        const val MAXIMUM_DIGEST_LENGTH = 64
    }
}
