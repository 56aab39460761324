package org.cicadaarch.testkit

import kotlinx.serialization.Serializable

/**
 * The load that a target reports: requests that run and wait, and an engine's cached tokens and slots.
 */
@Serializable
data class EngineLoad(val running: Int = 0, val waiting: Int = 0, val cachedTokens: Int = 0, val slots: Int = 0)
