package org.cicadaarch.quota

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import org.cicadaarch.model.AccountId
import org.cicadaarch.model.RouterId
import org.cicadaarch.model.Step
import org.cicadaarch.model.Timestamp
import org.cicadaarch.model.fleet.AccountLimits

/**
 * Enforces the limits of client accounts across the fleet: the router that owns an account allocates shares of the
 * limits to ingresses on a lease.
 *
 * An ingress that has no share, or whose share has expired because the owner is lost, uses the limit divided by the
 * number of routers in its view. An account that is idle at an ingress needs neither state nor messages there.
 */
class QuotaReducer(private val shareLease: Duration = SHARE_LEASE) {
    /**
     * Decides whether a request of [account] with [tokens] may start. Report the decision as
     * [QuotaEvent.RequestChecked].
     */
    fun check(state: QuotaState, account: AccountId, tokens: Int, now: Timestamp): QuotaDecision {
        val limits = state.limitsOf(account)
        if (limits == AccountLimits()) return QuotaDecision.Allowed
        val local = localQuotaOf(state, account, now)
        val limit = when {
            local.bucket.requests < 1.0 -> QuotaDecision.Limit.REQUESTS
            local.bucket.tokens <= 0.0 -> QuotaDecision.Limit.TOKENS
            local.inFlight + 1 > maxOf(1.0, local.share.concurrent) -> QuotaDecision.Limit.CONCURRENT
            else -> return QuotaDecision.Allowed
        }
        return QuotaDecision.Limited(limit, local.retryAfter(tokens))
    }

    /** Returns the new state and the messages to send after [event] at [now]. */
    fun reduce(state: QuotaState, event: QuotaEvent, now: Timestamp): Step<QuotaState, QuotaEffect> = when (event) {
        is QuotaEvent.Received -> received(state, event.from, event.message, now)
        is QuotaEvent.RoutersChanged -> Step(state.copy(view = event.view))
        is QuotaEvent.FleetChanged -> Step(state.copy(fleet = event.fleet))
        is QuotaEvent.RequestChecked -> Step(requestChecked(state, event, now))
        is QuotaEvent.RequestEnded -> Step(requestEnded(state, event.account))
        QuotaEvent.Tick -> ticked(state, now)
    }

    private fun received(
        state: QuotaState,
        from: RouterId,
        message: QuotaMessage,
        now: Timestamp,
    ): Step<QuotaState, QuotaEffect> = when (message) {
        is QuotaMessage.ShareRequested -> shareRequested(state, from, message, now)
        is QuotaMessage.ShareGranted -> Step(shareGranted(state, message, now))
    }

    private fun requestChecked(state: QuotaState, event: QuotaEvent.RequestChecked, now: Timestamp): QuotaState {
        if (state.limitsOf(event.account) == AccountLimits()) return state
        val local = localQuotaOf(state, event.account, now).withRequest(event.tokens, event.admitted, now)
        return state.copy(local = state.local.put(event.account, local))
    }

    private fun requestEnded(state: QuotaState, account: AccountId): QuotaState {
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
        val allocation = (state.owned[message.account] ?: ShareAllocation())
            .withoutExpired(now)
            .allocate(from, message.demand, limit, now + shareLease)
        val response = QuotaMessage.ShareGranted(message.account, allocation.shareOf(from), shareLease)
        return Step(
            state.copy(owned = state.owned.put(message.account, allocation)),
            listOf(QuotaEffect.Send(from, response)),
        )
    }

    private fun shareGranted(state: QuotaState, message: QuotaMessage.ShareGranted, now: Timestamp): QuotaState {
        if (message.account !in state.local) return state
        val local = localQuotaOf(state, message.account, now)
            .copy(share = message.share, shareExpiresAt = now + message.lease)
        return state.copy(local = state.local.put(message.account, local))
    }

    private fun ticked(state: QuotaState, now: Timestamp): Step<QuotaState, QuotaEffect> {
        val effects = mutableListOf<QuotaEffect>()
        val local = state.local.entries.fold(state.local) { remaining, (account, quota) ->
            val measured = localQuotaOf(state, account, now).withMeasuredDemand(now)
            val due = measured.windowStart != quota.windowStart && measured.isActive(now)
            if (due) effects += shareRequest(state, account, measured)
            if (measured.canBeRemoved(now)) remaining.remove(account) else remaining.put(account, measured)
        }
        val owned = state.owned.entries.fold(state.owned) { remaining, (account, allocation) ->
            val current = allocation.withoutExpired(now)
            if (current.size == 0) remaining.remove(account) else remaining.put(account, current)
        }
        return Step(state.copy(local = local, owned = owned), effects)
    }

    private fun shareRequest(state: QuotaState, account: AccountId, local: LocalQuota): List<QuotaEffect> =
        QuotaOwnership.ownerOf(account, state.view)
            ?.let { listOf(QuotaEffect.Send(it, QuotaMessage.ShareRequested(account, local.smoothedDemand))) }
            .orEmpty()

    private fun localQuotaOf(state: QuotaState, account: AccountId, now: Timestamp): LocalQuota {
        val limits = state.limitsOf(account)
        val limit = QuotaAmounts.of(limits)
        val equalShare = limit * (1.0 / maxOf(1, state.view.routers.size))
        val known = state.local[account] ?: return LocalQuota(equalShare, burstOf(equalShare, limit, limits), now)
        val expired = known.shareExpiresAt != null && known.shareExpiresAt <= now
        val share = if (expired) equalShare else known.share
        return known.copy(share = share).refilled(burstOf(share, limit, limits), now)
    }

    /** The bucket sizes for [share]: its part of the request burst, at least one request, and one second of tokens. */
    private fun burstOf(share: QuotaAmounts, limit: QuotaAmounts, limits: AccountLimits): QuotaAmounts {
        val burst = limits.requestBurst?.toDouble() ?: limit.requests
        return QuotaAmounts(
            requests = maxOf(1.0, burst * share.requests / limit.requests),
            tokens = maxOf(1.0, share.tokens),
            concurrent = 0.0,
        )
    }

    private companion object {
        val SHARE_LEASE = 3.seconds
    }
}
