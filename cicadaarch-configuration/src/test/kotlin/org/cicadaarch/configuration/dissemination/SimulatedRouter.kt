package org.cicadaarch.configuration.dissemination

import org.cicadaarch.model.RouterInfo

/**
 * A router of the simulated fleet; while it is frozen, what reaches it waits in [backlog].
 */
class SimulatedRouter(val info: RouterInfo, var state: ConfigurationState) {
    val backlog = mutableListOf<ConfigurationEvent>()
    var isFrozen = false
    var lastDisturbedAt = 0L
}
