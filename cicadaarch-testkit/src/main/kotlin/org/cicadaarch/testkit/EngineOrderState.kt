package org.cicadaarch.testkit

import kotlinx.serialization.Serializable

/**
 * The order that an engine last followed and the highest fencing number that it has seen.
 */
@Serializable
internal data class EngineOrderState(val highestFencingNumber: Long = 0, val order: EngineOrder? = null) {
    /** The state after [next]. */
    fun follow(next: EngineOrder): EngineOrderState =
        EngineOrderState(maxOf(highestFencingNumber, next.fencingNumber), next)
}
