package org.cicadaarch.dispatch.admission

import org.cicadaarch.dispatch.request.DispatchState
import org.cicadaarch.model.ServiceName
import org.cicadaarch.model.Timestamp

/**
 * What operators are told of the queues of a router.
 */
object QueueReport {
    /** The number of queued requests in [state], by service. */
    fun lengths(state: DispatchState): Map<ServiceName, Int> {
        val queued = state.queued.groupingBy { it.request.service }.eachCount()
        return servicesOf(state).associateWith { queued[it] ?: 0 }
    }

    /** How long a new request would wait at [now] behind those queued in [state], by service, where that is known. */
    fun waits(state: DispatchState, now: Timestamp): Map<ServiceName, WaitEstimate> {
        val estimator = WaitEstimator(state, now)
        return servicesOf(state)
            .mapNotNull { service -> estimator.estimate(service)?.let { service to it } }
            .toMap()
    }

    /** The services with a target or a queued request: a service that lost all targets still has a queue. */
    private fun servicesOf(state: DispatchState): Set<ServiceName> =
        state.targets.values.mapTo(HashSet()) { it.entry.service } + state.queued.map { it.request.service }
}
