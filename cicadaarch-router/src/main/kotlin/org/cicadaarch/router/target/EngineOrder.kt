package org.cicadaarch.router.target

import kotlinx.serialization.Serializable
import org.cicadaarch.model.fleet.EngineRole
import org.cicadaarch.model.fleet.WantedState

/**
 * An order to an engine, as it stands in the body of `/orders`.
 */
@Serializable
internal data class EngineOrder(
    val fencingNumber: Long,
    val model: String,
    val version: String,
    val adapters: List<String> = emptyList(),
    val role: EngineRole = EngineRole.MIXED,
) {
    /** The state that the order asks for. */
    fun state(): WantedState = WantedState(model, version, adapters.toSet(), role)

    companion object {
        /** The order into [state] under the number [fencing]. */
        fun of(state: WantedState, fencing: Long): EngineOrder =
            EngineOrder(fencing, state.model, state.version, state.adapters.sorted(), state.role)
    }
}
