package org.cicadaarch.dispatch.admission

import org.cicadaarch.dispatch.request.DispatchRequest
import org.cicadaarch.dispatch.request.DispatchState
import org.cicadaarch.dispatch.target.TargetState
import org.cicadaarch.model.TargetId

/**
 * Which targets may take [request], by the tokens of this router's requests in flight there in [state]. There is no
 * limit if the request does not state its work, or the service not the memory of its targets.
 */
internal class TokenLimits(private val state: DispatchState, private val request: DispatchRequest) {
    private val cacheTokens = state.services[request.service]?.cacheTokens
    private val work = request.work
    private val meanPromptTokens = state.admission.of(request.service).meanPromptTokens

    /** Whether the memory of [target] has room for the request. */
    fun fits(target: TargetState): Boolean {
        if (cacheTokens == null || work == null) return true
        return state.tokenLoads.at(target.entry).held + work.promptTokens + work.outputTokens <= cacheTokens
    }

    /** Those of [targets] with so many unread prompt tokens that the request is better sent elsewhere. */
    fun busyReading(targets: List<TargetState>): Set<TargetId> {
        if (cacheTokens == null || work == null) return emptySet()
        val isLong = work.promptTokens > meanPromptTokens * LONG_FACTOR
        val limit = if (isLong) meanPromptTokens else meanPromptTokens * LONG_FACTOR
        return targets.filter { state.tokenLoads.at(it.entry).unread > limit }.mapTo(HashSet()) { it.entry.id }
    }

    /** The tokens that [target] has to read for the request: all but those of the prompt that it was last sent. */
    fun unreadAt(target: TargetId): Int {
        val tokens = work?.promptTokens ?: return 0
        val isCached = request.promptKey != null && state.promptLocations.lastTarget(request.promptKey) == target
        return if (isCached) (tokens - request.sharedPromptTokens).coerceAtLeast(0) else tokens
    }

    private companion object {
        /** A prompt of so many times the mean stalls the requests that are read after it. */
        const val LONG_FACTOR = 3.0
    }
}
