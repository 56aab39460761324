package org.cicadaarch.admission

import kotlin.time.Duration
import org.cicadaarch.admission.AdmissionMessage.PermitRedirected
import org.cicadaarch.model.TargetId
import org.cicadaarch.model.Timestamp

/**
 * Decides whether and to which target a request is redirected.
 */
internal class RedirectPolicy(private val settings: AdmissionSettings) {
    /** The other target that ran this chat last, or null if there is none or the chat is not to be redirected. */
    fun lastTargetOf(state: TargetAdmissionState, context: TargetContext, demand: PermitDemand): TargetId? =
        if (settings.redirectsToLastTarget && demand.isHome && demand.isReturning) {
            demand.chat?.let { state.chatLocations.find(ChatKey(demand.account, it)) }?.takeIf { it != context.id }
        } else {
            null
        }

    /** Whether a request with [demand] is not redirected any more when it arrives. */
    fun isExhausted(context: TargetContext, demand: PermitDemand): Boolean =
        demand.redirects >= minOf(settings.maximumRedirects, context.groupSize.targets - 1)

    /**
     * Suggests the target that ran the chat last. Otherwise, an attempt that was redirected before gets one of the
     * targets with free slots, chosen by the attempt's hash, and the first redirect has no hint.
     */
    fun redirectOf(state: TargetAdmissionState, context: TargetContext, request: QueuedRequest): PermitRedirected {
        val lastTarget = lastTargetOf(state, context, request.demand)
        val candidates = context.groupLoad?.targetsWithFreeSlots.orEmpty().filter { it != context.id }
        val suggested = candidates.getOrNull(Math.floorMod(request.attempt.hashCode(), maxOf(1, candidates.size)))
        val hint = lastTarget ?: suggested.takeIf { request.demand.redirects > 0 }
        return PermitRedirected(request.attempt, context.id, hint, hintRanChat = lastTarget != null)
    }

    /**
     * Whether [waiting] may still be redirected from the queue. It is never redirected more often than there are other
     * targets.
     */
    fun mayRedirect(waiting: QueuedRequest, context: TargetContext): Boolean =
        waiting.demand.redirects < minOf(2 * settings.maximumRedirects, context.groupSize.targets - 1)

    /** Whether [waiting] has to leave the queue for another target now, if it may be redirected. */
    fun mustRedirect(
        waiting: QueuedRequest,
        state: TargetAdmissionState,
        context: TargetContext,
        now: Timestamp,
    ): Boolean = waiting.redirectableAt <= now && !LoadBound.isSaturated(state, context, now)

    /** How long to wait for a target that has the chat's prompt prefix cached: the time to compute it elsewhere. */
    fun cacheWaitOf(demand: PermitDemand): Duration = if (demand.isReturning && (demand.isHome || demand.ranChat)) {
        settings.prefillTimePerToken * demand.promptTokens
    } else {
        Duration.ZERO
    }
}
