package org.cicadaarch.admission

import kotlinx.serialization.Serializable
import org.cicadaarch.model.TargetId

/**
 * An owner's count of the requests that are in flight on [target] and queued for it.
 */
@Serializable
data class TargetCount(val target: TargetId, val inFlight: Int, val queued: Int)
