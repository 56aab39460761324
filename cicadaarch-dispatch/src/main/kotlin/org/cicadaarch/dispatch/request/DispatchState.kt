package org.cicadaarch.dispatch.request

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.cicadaarch.dispatch.capacity.TargetCapacities
import org.cicadaarch.dispatch.evacuation.Evacuations
import org.cicadaarch.dispatch.routing.ServiceLimits
import org.cicadaarch.dispatch.target.PromptLocations
import org.cicadaarch.dispatch.target.TargetNotices
import org.cicadaarch.dispatch.target.TargetState
import org.cicadaarch.model.ServiceName
import org.cicadaarch.model.TargetId

/**
 * The state of the dispatch of one router.
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
)
