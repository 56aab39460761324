package org.cicadaarch.admission

import kotlinx.serialization.Serializable

/**
 * Why an owner will not let an attempt run on its target.
 */
@Serializable
enum class PermitRefusal {
    /** The first byte would come after the deadline. */
    LATE,

    /** The target is leaving or is not in the configuration. */
    TARGET_GONE,

    /** The queue holds its maximum of requests. */
    QUEUE_FULL,

    /** The receiver does not own the target in its view of the routers. */
    NOT_OWNER,
}
