package org.cicadaarch.admission

import kotlin.time.Duration
import org.cicadaarch.model.AccountId
import org.cicadaarch.model.Timestamp

/**
 * Judges whether a target has room for a request, and how long a request waits for it.
 */
internal class SlotPolicy(private val settings: AdmissionSettings) {
    /** Whether the target has a free slot below the limit in force. */
    fun hasFreeSlot(state: TargetAdmissionState, context: TargetContext, now: Timestamp): Boolean {
        val limit = if (settings.enforcesLoadBound) LoadBound.limit(state, context, now) else context.target.capacity
        return !context.target.leaving && state.load < limit
    }

    /**
     * Whether the target has a free slot for this demand. Slots above [LoadBound.newChatLimit] are reserved for
     * returning chats and redirected attempts.
     */
    fun canGrant(state: TargetAdmissionState, context: TargetContext, demand: PermitDemand, now: Timestamp): Boolean {
        val mayUseLastSlots = demand.isReturning || demand.redirects > 0
        return hasFreeSlot(state, context, now) &&
            (mayUseLastSlots || state.load < LoadBound.newChatLimit(state, context, settings, now))
    }

    /** The time after which a request with [demand] that is queued now is expected to be granted. */
    fun expectedWait(
        state: TargetAdmissionState,
        context: TargetContext,
        demand: PermitDemand,
        now: Timestamp,
    ): Duration {
        val slots = maxOf(1, LoadBound.limit(state, context, now))
        return state.meanHoldTime * (state.queue.requestsAhead(queueAccount(demand), context::weightOf) + 1) / slots
    }

    /** Whether [request] would get its first token too late, even if it were granted now. */
    fun isOverdue(state: TargetAdmissionState, request: QueuedRequest, now: Timestamp): Boolean =
        request.deadline <= now + state.meanTimeToFirstToken * FIRST_TOKEN_MARGIN

    /** The account under which a request is queued. Without fair queueing, all requests share one account. */
    fun queueAccount(demand: PermitDemand): AccountId =
        if (settings.usesFairQueueing) demand.account else SHARED_ACCOUNT

    private companion object {
        val SHARED_ACCOUNT = AccountId("")
        const val FIRST_TOKEN_MARGIN = 2
    }
}
