package org.cicadaarch.model

import kotlinx.serialization.Serializable

/**
 * Identifies one attempt to run [request] on a target; [number] counts from one.
 */
@Serializable
data class AttemptId(val request: RequestId, val number: Int) {
    override fun toString(): String = "$request/$number"
}
