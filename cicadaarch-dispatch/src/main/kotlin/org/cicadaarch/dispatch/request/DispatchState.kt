package org.cicadaarch.dispatch.request

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.cicadaarch.dispatch.target.PromptHolders
import org.cicadaarch.dispatch.target.TargetState
import org.cicadaarch.model.ServiceName
import org.cicadaarch.model.TargetId

/**
 * Everything that the dispatch of one router knows.
 */
data class DispatchState(
    val targets: PersistentMap<TargetId, TargetState> = persistentMapOf(),
    val requests: PersistentMap<ExchangeId, OpenRequest> = persistentMapOf(),
    val retryBudgets: PersistentMap<ServiceName, RetryBudget> = persistentMapOf(),
    val holders: PromptHolders = PromptHolders(),
)
