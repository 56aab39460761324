package org.cicadaarch.testkit

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * A change of an engine's prefix cache. Sequence numbers rise by one for each change, reported or not.
 */
@Serializable
internal data class CacheEvent(val sequence: Long, val kind: Kind, val hash: String, val tokens: Int) {
    @Serializable
    enum class Kind {
        @SerialName("stored")
        STORED,

        @SerialName("evicted")
        EVICTED,
    }
}
