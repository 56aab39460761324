package org.cicadaarch.admission

import kotlinx.serialization.Serializable
import org.cicadaarch.model.TargetId

/**
 * An owner's count of the requests in flight on [target] and waiting for it.
 */
@Serializable
data class TargetCount(val target: TargetId, val inFlight: Int, val queued: Int)
