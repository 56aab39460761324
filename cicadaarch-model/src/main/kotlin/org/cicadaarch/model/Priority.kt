package org.cicadaarch.model

import kotlinx.serialization.Serializable

/**
 * The order in which waiting requests of one account are served: lower ordinals first.
 */
@Serializable
enum class Priority {
    INTERACTIVE,
    STANDARD,
    BATCH,
}
