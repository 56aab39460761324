package org.cicadaarch.ledger

import kotlin.time.Duration
import org.cicadaarch.model.AccountId
import org.cicadaarch.model.IdempotencyKey
import org.cicadaarch.model.Outcome
import org.cicadaarch.model.RequestId
import org.cicadaarch.model.RouterId
import org.cicadaarch.model.RouterView

/**
 * What happens to the keyed requests of one ingress.
 */
sealed class ClaimantEvent {
    /** [request] arrived and must not run before its claim of [key] is granted; it waits up to [timeAllowed]. */
    data class ClaimRequested(
        val request: RequestId,
        val account: AccountId,
        val key: IdempotencyKey,
        val timeAllowed: Duration,
    ) : ClaimantEvent()

    /**
     * [request] ended with [outcome] before or after its grant; [digest], of at most 64 characters, identifies a
     * completed answer. [Outcome.NOT_RUN] must be true: no byte was offered to a target, nor will one be.
     */
    data class RequestEnded(val request: RequestId, val outcome: Outcome, val digest: String? = null) :
        ClaimantEvent() {
        init {
            require((digest?.length ?: 0) <= MAXIMUM_DIGEST_LENGTH) { "digest of $request is too long" }
        }
    }

    /** [message] came from the shard owner on router [from]. */
    data class Received(val from: RouterId, val message: LedgerMessage.ForIngress) : ClaimantEvent()

    /** The list of live routers changed. */
    data class RoutersChanged(val view: RouterView) : ClaimantEvent()

    /** The periodic tick, every 100 ms. */
    data object Tick : ClaimantEvent()

    private companion object {
        const val MAXIMUM_DIGEST_LENGTH = 64
    }
}
