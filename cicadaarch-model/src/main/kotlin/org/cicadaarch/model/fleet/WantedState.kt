package org.cicadaarch.model.fleet

import kotlinx.serialization.Serializable

/**
 * The state that a model engine should be in. Ordering the engine into the same state again changes nothing.
 */
@Serializable
data class WantedState(
    val model: String,
    val version: String,
    val adapters: Set<String> = emptySet(),
    val role: EngineRole = EngineRole.MIXED,
)
