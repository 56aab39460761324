package org.cicadaarch.orders

import org.cicadaarch.model.fleet.WantedState

/**
 * What an engine tells of itself: the state that it is [serving] and the one that it is [loading], if any.
 */
data class EngineState(val serving: WantedState?, val loading: WantedState? = null)
