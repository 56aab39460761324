package org.cicadaarch.model.fleet

import kotlinx.serialization.Serializable
import org.cicadaarch.model.AccountId
import org.cicadaarch.model.Priority
import org.cicadaarch.model.ServiceName
import org.cicadaarch.model.TargetId

/**
 * One way of running the fleet. Exactly one preset is active.
 *
 * [admittedPriorities] are the priorities served; others are refused before they run. [accountLimits] and
 * [loadMultiples] replace the document's general values. [wantedStates] are the orders to model engines.
 */
@Serializable
data class Preset(
    val admittedPriorities: Set<Priority> = Priority.entries.toSet(),
    val accountLimits: Map<AccountId, AccountLimits> = emptyMap(),
    val loadMultiples: Map<ServiceName, Double> = emptyMap(),
    val wantedStates: Map<TargetId, WantedState> = emptyMap(),
)
