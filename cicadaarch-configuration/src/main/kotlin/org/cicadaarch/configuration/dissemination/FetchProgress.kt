package org.cicadaarch.configuration.dissemination

import org.cicadaarch.model.RouterId
import org.cicadaarch.model.Timestamp

/**
 * A document asked of router [from] and given up at [deadline].
 */
data class FetchProgress(val from: RouterId, val deadline: Timestamp)
