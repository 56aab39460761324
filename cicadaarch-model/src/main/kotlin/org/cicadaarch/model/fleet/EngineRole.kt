package org.cicadaarch.model.fleet

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Which phases of a request a model engine runs.
 */
@Serializable
enum class EngineRole {
    @SerialName("prefill")
    PREFILL,

    @SerialName("decode")
    DECODE,

    @SerialName("mixed")
    MIXED,
}
