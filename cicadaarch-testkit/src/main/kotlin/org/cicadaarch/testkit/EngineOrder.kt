package org.cicadaarch.testkit

import kotlinx.serialization.Serializable

/**
 * An order to an engine to take on a state.
 */
@Serializable
internal data class EngineOrder(
    val fencingNumber: Long,
    val model: String,
    val version: String,
    val adapters: List<String> = emptyList(),
    val role: String,
)
