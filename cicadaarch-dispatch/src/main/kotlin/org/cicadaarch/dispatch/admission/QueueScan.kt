package org.cicadaarch.dispatch.admission

import org.cicadaarch.dispatch.request.DispatchState
import org.cicadaarch.dispatch.request.ExchangeId
import org.cicadaarch.dispatch.request.OpenRequest
import org.cicadaarch.dispatch.request.OpenRequest.Phase.Queued
import org.cicadaarch.model.ServiceName
import org.cicadaarch.model.Timestamp

/**
 * Goes through the queued requests at [now], in their order, to send those that a target has room for.
 *
 * Once several requests of a service found no target, the others that are like them are left out, since a long queue is
 * scanned at each event.
 */
internal class QueueScan(private val now: Timestamp) {
    private val tried = HashSet<ExchangeId>()
    private val failures = HashMap<Group, Int>()
    private var order: Iterator<OpenRequest>? = null

    /** The next request to try in [state], or null if no further one can be sent. */
    fun next(state: DispatchState): OpenRequest? {
        val remaining = order ?: ordered(state).also { order = it }
        while (remaining.hasNext()) {
            val open = remaining.next()
            if (!isFutile(open, state)) return open.also { tried += it.request.id }
        }
        return null
    }

    /** Notes that [open] was tried, which led to [state]. */
    fun tried(open: OpenRequest, state: DispatchState) {
        if (state.requests[open.request.id]?.phase is Queued) {
            if (open.triedTargets.isEmpty()) failures.merge(Group.of(open), 1, Int::plus)
        } else {
            order = null
        }
    }

    private fun ordered(state: DispatchState): Iterator<OpenRequest> {
        val queued = state.queued.filter { it.request.id !in tried }
        return (if (queued.size > 1) QueueOrder(state, now).sorted(queued) else queued).iterator()
    }

    /** Whether [open] would stay in the queue as the ones before it. Any of them may have to be refused. */
    private fun isFutile(open: OpenRequest, state: DispatchState): Boolean =
        open.triedTargets.isEmpty() && (failures[Group.of(open)] ?: 0) >= MAX_FAILURES &&
            state.targetNotices.nextBackOffEnd(now) == null &&
            state.heldRequests.ruleFor(open.request.traits) == null

    /** Requests that need the same of a target; their tokens have the same number of binary digits, [sizeClass]. */
    private data class Group(val service: ServiceName, val hasPrompt: Boolean, val sizeClass: Int) {
        companion object {
            fun of(open: OpenRequest): Group {
                val request = open.request
                val tokens = request.work?.let { it.promptTokens + it.outputTokens } ?: 0
                val sizeClass = Int.SIZE_BITS - tokens.countLeadingZeroBits()
                return Group(request.service, request.promptKey != null, sizeClass)
            }
        }
    }

    private companion object {
        /** A request may fit where one before it, with more tokens, did not. */
        const val MAX_FAILURES = 3
    }
}
