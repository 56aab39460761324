package org.cicadaarch.model

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Identifies one attempt to run [request] on a target. [number] is 1 for the first attempt of the request.
 */
@Serializable
data class AttemptId(@SerialName("r") val request: RequestId, @SerialName("n") val number: Int) {
    override fun toString(): String = "$request/$number"
}
