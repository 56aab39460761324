package org.cicadaarch.ledger

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * How the request of a granted claim ended after at least one byte of it was sent to a target.
 */
@Serializable
enum class RunResult {
    @SerialName("c")
    COMPLETED,

    @SerialName("m")
    MAY_HAVE_RUN,
}
