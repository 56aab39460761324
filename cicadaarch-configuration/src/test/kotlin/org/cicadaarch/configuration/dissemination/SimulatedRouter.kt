package org.cicadaarch.configuration.dissemination

import org.cicadaarch.model.RouterInfo

/**
 * A router of the simulated fleet. While it is paused, events wait in [backlog].
 */
class SimulatedRouter(val info: RouterInfo, var state: ConfigurationState) {
    val backlog = mutableListOf<ConfigurationEvent>()
    var isPaused = false
    var lastDisturbedAt = 0L
}
