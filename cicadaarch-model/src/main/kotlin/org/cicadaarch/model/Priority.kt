package org.cicadaarch.model

import kotlinx.serialization.Serializable

/**
 * The priority of a request. Of the queued requests of one client account, those with a lower ordinal are served first.
 */
@Serializable
enum class Priority {
    INTERACTIVE,
    STANDARD,
    BATCH,
}
