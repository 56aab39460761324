package org.cicadaarch.model.fleet

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * The phases of a request that an engine runs.
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
