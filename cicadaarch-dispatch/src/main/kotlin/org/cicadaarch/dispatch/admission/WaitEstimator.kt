package org.cicadaarch.dispatch.admission

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import org.cicadaarch.dispatch.request.DispatchState
import org.cicadaarch.dispatch.request.OpenRequest
import org.cicadaarch.dispatch.target.TargetState
import org.cicadaarch.model.ServiceName
import org.cicadaarch.model.Timestamp

/**
 * Estimates how long requests wait at this router, by what is known at [now] in [state].
 *
 * There is no estimate while a target may have a free slot, nor without recent responses: shortly after the start of
 * the router, after a pause, or if the service has stopped responding.
 */
internal class WaitEstimator(private val state: DispatchState, private val now: Timestamp) {
    private val costs = RequestCosts(state.admission, state.observations)

    /** The estimate for [open] with the queued requests that go before it, or null if there is none. */
    fun estimate(open: OpenRequest): WaitEstimate? {
        val service = open.request.service
        if (!hasBasis(service)) return null
        val others = queued(service).filter { it.request.id != open.request.id }
        val ranks = QueueOrder(state, now).projectedRanks(others + open) { costs.of(it.request) }
        val rank = ranks.getValue(open.request.id)
        return estimate(service, others.filter { ranks.getValue(it.request.id) <= rank })
    }

    /** The estimate for a request for [service] that goes behind all queued ones, or null if there is none. */
    fun estimate(service: ServiceName): WaitEstimate? =
        if (hasBasis(service)) estimate(service, queued(service)) else null

    private fun estimate(service: ServiceName, ahead: List<OpenRequest>): WaitEstimate {
        val record = state.admission.of(service)
        val slotsInUse = slotsInUse(service)
        val work = ahead.sumOf { costs.of(it.request) } + record.meanCost
        return WaitEstimate(
            wait = (work / slotsInUse).seconds,
            requestsAhead = ahead.size,
            slotsInUse = slotsInUse,
            slotTime = record.meanCost.seconds,
            age = age(record) ?: Duration.ZERO,
        )
    }

    private fun hasBasis(service: ServiceName): Boolean {
        val record = state.admission.of(service)
        val age = age(record)
        return age != null && age <= LIFETIME && record.responses.count >= MIN_RESPONSES &&
            slotsInUse(service) >= MIN_SLOTS_IN_USE && targetsOf(service).none { mayHaveFreeSlot(it) }
    }

    private fun age(record: ServiceQueueRecord): Duration? = record.responses.lastAt?.let { now - it }

    private fun mayHaveFreeSlot(target: TargetState): Boolean {
        val entry = target.entry
        val isUsable = !entry.isDraining && !target.isEjected(now) && !state.evacuations.contains(entry.zone) &&
            state.targetNotices.wantsRequests(entry, now) && !isWarmingUp(target)
        return isUsable && target.load(now) + 1 <= entry.slots
    }

    /** Whether the limit on targets that warm up keeps this router from using [target]. */
    private fun isWarmingUp(target: TargetState): Boolean =
        state.services[target.entry.service]?.warmUp != null && target.warmUp?.isActive(now) == true

    private fun slotsInUse(service: ServiceName): Int = targetsOf(service).sumOf { it.inFlight }

    private fun queued(service: ServiceName) = state.queued.filter { it.request.service == service }

    private fun targetsOf(service: ServiceName) = state.targets.values.filter { it.entry.service == service }

    private companion object {
        val LIFETIME = 2.seconds

        /** The mean cost of fewer requests says little. */
        const val MIN_RESPONSES = 16

        /** With fewer, the time until one becomes free is mostly chance. */
        const val MIN_SLOTS_IN_USE = 4
    }
}
