package org.cicadaarch.dispatch.request

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentHashSetOf
import kotlinx.collections.immutable.persistentMapOf
import org.cicadaarch.dispatch.admission.AdmissionState
import org.cicadaarch.dispatch.admission.TokenLoads
import org.cicadaarch.dispatch.capacity.TargetCapacities
import org.cicadaarch.dispatch.evacuation.Evacuations
import org.cicadaarch.dispatch.routing.ServiceLimits
import org.cicadaarch.dispatch.target.PromptLocations
import org.cicadaarch.dispatch.target.TargetNotices
import org.cicadaarch.dispatch.target.TargetState
import org.cicadaarch.model.ServiceName
import org.cicadaarch.model.TargetId

/**
 * The state of the dispatch of one router. [routerSeed] is a random number of its own, by which it acts at other times
 * than the other routers.
 */
data class DispatchState(
    val targets: PersistentMap<TargetId, TargetState> = persistentMapOf(),
    val requests: PersistentMap<ExchangeId, OpenRequest> = persistentMapOf(),
    val retryBudgets: PersistentMap<ServiceName, RetryBudget> = persistentMapOf(),
    val promptLocations: PromptLocations = PromptLocations(),
    val heldRequests: HeldRequests = HeldRequests(),
    val targetNotices: TargetNotices = TargetNotices(),
    val observations: RequestObservations = RequestObservations(),
    val services: Map<ServiceName, ServiceLimits> = emptyMap(),
    val evacuations: Evacuations = Evacuations(),
    val capacities: TargetCapacities = TargetCapacities(),
    val routerSeed: Long = 0,
    val admission: AdmissionState = AdmissionState(),
    val tokenLoads: TokenLoads = TokenLoads(),
    private val queuedIds: PersistentSet<ExchangeId> = persistentHashSetOf(),
) {
    /** The requests that wait for a target. */
    val queued: List<OpenRequest> get() = queuedIds.map { requests.getValue(it) }

    /** A copy with [open] as the state of its request. */
    fun withRequest(open: OpenRequest): DispatchState {
        val id = open.request.id
        val isQueued = open.phase is OpenRequest.Phase.Queued
        return copy(
            requests = requests.put(id, open),
            tokenLoads = tokenLoads.replaced(before = requests[id], after = open),
            queuedIds = if (isQueued) queuedIds.add(id) else queuedIds.remove(id),
        )
    }

    /** A copy without request [id]. */
    fun withoutRequest(id: ExchangeId): DispatchState = copy(
        requests = requests.remove(id),
        tokenLoads = tokenLoads.replaced(before = requests[id], after = null),
        queuedIds = queuedIds.remove(id),
    )
}
