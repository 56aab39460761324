package org.cicadaarch.orders

import org.cicadaarch.model.fleet.WantedState

/**
 * The state that an engine reports: what it is [serving], and what it is [loading], if anything.
 */
data class EngineState(val serving: WantedState?, val loading: WantedState? = null)
