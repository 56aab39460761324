package org.cicadaarch.ledger

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * How a granted claim's request ended when at least one byte of it was offered to a target.
 */
@Serializable
enum class RunResult {
    @SerialName("c")
    COMPLETED,

    @SerialName("m")
    MAY_HAVE_RUN,
}
