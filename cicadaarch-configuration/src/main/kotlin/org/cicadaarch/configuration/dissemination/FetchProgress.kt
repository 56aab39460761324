package org.cicadaarch.configuration.dissemination

import org.cicadaarch.model.RouterId
import org.cicadaarch.model.Timestamp

/**
 * A pending document request to router [from] that times out at [deadline].
 */
data class FetchProgress(val from: RouterId, val deadline: Timestamp)
