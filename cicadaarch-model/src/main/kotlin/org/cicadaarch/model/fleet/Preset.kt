package org.cicadaarch.model.fleet

import kotlinx.serialization.Serializable
import org.cicadaarch.model.AccountId
import org.cicadaarch.model.Priority
import org.cicadaarch.model.ServiceName
import org.cicadaarch.model.TargetId

/**
 * An operating mode of the fleet. Exactly one preset is active.
 *
 * Requests of priorities other than [admittedPriorities] are refused before they run. [accountLimits] and
 * [loadMultiples] override the values of the accounts and services in the document. [wantedStates] are the states that
 * model engines are ordered into.
 */
@Serializable
data class Preset(
    val admittedPriorities: Set<Priority> = Priority.entries.toSet(),
    val accountLimits: Map<AccountId, AccountLimits> = emptyMap(),
    val loadMultiples: Map<ServiceName, Double> = emptyMap(),
    val wantedStates: Map<TargetId, WantedState> = emptyMap(),
)
