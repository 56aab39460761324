package org.cicadaarch.quota

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import org.cicadaarch.model.AccountId
import org.cicadaarch.model.RouterId
import org.cicadaarch.model.Step
import org.cicadaarch.model.Timestamp
import org.cicadaarch.model.fleet.AccountLimits

/**
 * Fleet-wide limits of client accounts: ingresses borrow shares of an account's limits from the account's owner.
 *
 * Without a share, and when the owner is lost, an ingress has the limit divided by the routers in view. An account that
 * is idle at an ingress costs neither state nor messages there.
 */
class QuotaReducer(private val shareLease: Duration = SHARE_LEASE) {
    /** Whether a request of [account] with [tokens] may start; to be followed by [QuotaEvent.RequestChecked]. */
    fun check(state: QuotaState, account: AccountId, tokens: Int, now: Timestamp): QuotaDecision {
        val limits = state.limitsOf(account)
        if (limits == AccountLimits()) return QuotaDecision.Allowed
        val local = localOf(state, account, now)
        val limit = when {
            local.bucket.requests < 1.0 -> QuotaDecision.Limit.REQUESTS
            local.bucket.tokens <= 0.0 -> QuotaDecision.Limit.TOKENS
            local.inFlight + 1 > maxOf(1.0, local.share.concurrent) -> QuotaDecision.Limit.CONCURRENT
            else -> return QuotaDecision.Allowed
        }
        return QuotaDecision.Limited(limit, local.waitFor(tokens))
    }

    /** The state and the messages after [event] at [now]. */
    fun reduce(state: QuotaState, event: QuotaEvent, now: Timestamp): Step<QuotaState, QuotaEffect> = when (event) {
        is QuotaEvent.Received -> received(state, event.from, event.message, now)
        is QuotaEvent.RoutersChanged -> Step(state.copy(view = event.view))
        is QuotaEvent.FleetChanged -> Step(state.copy(fleet = event.fleet))
        is QuotaEvent.RequestChecked -> Step(offered(state, event, now))
        is QuotaEvent.RequestEnded -> Step(ended(state, event.account))
        QuotaEvent.Tick -> ticked(state, now)
    }

    private fun received(
        state: QuotaState,
        from: RouterId,
        message: QuotaMessage,
        now: Timestamp,
    ): Step<QuotaState, QuotaEffect> = when (message) {
        is QuotaMessage.ShareRequested -> shareRequested(state, from, message, now)
        is QuotaMessage.ShareLent -> Step(shareLent(state, message, now))
    }

    private fun offered(state: QuotaState, event: QuotaEvent.RequestChecked, now: Timestamp): QuotaState {
        if (state.limitsOf(event.account) == AccountLimits()) return state
        val local = localOf(state, event.account, now).offered(event.tokens, event.admitted, now)
        return state.copy(local = state.local.put(event.account, local))
    }

    private fun ended(state: QuotaState, account: AccountId): QuotaState {
        val local = state.local[account] ?: return state
        return state.copy(local = state.local.put(account, local.copy(inFlight = maxOf(0, local.inFlight - 1))))
    }

    private fun shareRequested(
        state: QuotaState,
        from: RouterId,
        message: QuotaMessage.ShareRequested,
        now: Timestamp,
    ): Step<QuotaState, QuotaEffect> {
        val limit = QuotaAmounts.of(state.limitsOf(message.account))
        val owned = (state.owned[message.account] ?: OwnedQuota())
            .withoutLapsed(now)
            .lent(from, message.demand, limit, now + shareLease)
        val answer = QuotaMessage.ShareLent(message.account, owned.shareOf(from), shareLease)
        return Step(
            state.copy(owned = state.owned.put(message.account, owned)),
            listOf(QuotaEffect.Send(from, answer)),
        )
    }

    private fun shareLent(state: QuotaState, message: QuotaMessage.ShareLent, now: Timestamp): QuotaState {
        if (message.account !in state.local) return state
        val local = localOf(state, message.account, now).copy(share = message.share, shareUntil = now + message.lease)
        return state.copy(local = state.local.put(message.account, local))
    }

    private fun ticked(state: QuotaState, now: Timestamp): Step<QuotaState, QuotaEffect> {
        val effects = mutableListOf<QuotaEffect>()
        val local = state.local.entries.fold(state.local) { left, (account, quota) ->
            val measured = localOf(state, account, now).measured(now)
            val due = measured.windowStart != quota.windowStart && measured.isBusy(now)
            if (due) effects += request(state, account, measured)
            if (measured.isForgettable(now)) left.remove(account) else left.put(account, measured)
        }
        val owned = state.owned.entries.fold(state.owned) { left, (account, quota) ->
            val live = quota.withoutLapsed(now)
            if (live.size == 0) left.remove(account) else left.put(account, live)
        }
        return Step(state.copy(local = local, owned = owned), effects)
    }

    private fun request(state: QuotaState, account: AccountId, local: LocalQuota): List<QuotaEffect> =
        QuotaOwnership.ownerOf(account, state.view)
            ?.let { listOf(QuotaEffect.Send(it, QuotaMessage.ShareRequested(account, local.smoothedDemand))) }
            .orEmpty()

    private fun localOf(state: QuotaState, account: AccountId, now: Timestamp): LocalQuota {
        val limits = state.limitsOf(account)
        val whole = QuotaAmounts.of(limits)
        val alone = whole * (1.0 / maxOf(1, state.view.routers.size))
        val known = state.local[account] ?: return LocalQuota(alone, burstOf(alone, whole, limits), now)
        val lapsed = known.shareUntil != null && known.shareUntil <= now
        val share = if (lapsed) alone else known.share
        return known.copy(share = share).filled(burstOf(share, whole, limits), now)
    }

    /** The part of the burst that goes with [share]: at least one request, and a second's tokens. */
    private fun burstOf(share: QuotaAmounts, whole: QuotaAmounts, limits: AccountLimits): QuotaAmounts {
        val burst = limits.requestBurst?.toDouble() ?: whole.requests
        return QuotaAmounts(
            requests = maxOf(1.0, burst * share.requests / whole.requests),
            tokens = maxOf(1.0, share.tokens),
            concurrent = 0.0,
        )
    }

    private companion object {
        val SHARE_LEASE = 3.seconds
    }
}
