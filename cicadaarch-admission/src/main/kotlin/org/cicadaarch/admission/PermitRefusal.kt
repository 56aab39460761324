package org.cicadaarch.admission

import kotlinx.serialization.Serializable

/**
 * The reason why an owner refuses to run an attempt on its target.
 */
@Serializable
enum class PermitRefusal {
    /** The first byte of the response would miss the deadline. */
    LATE,

    /** The target is leaving or is not in the configuration. */
    TARGET_GONE,

    /** The queue of the target is full. */
    QUEUE_FULL,

    /** The receiver does not own the target, according to its view of the routers. */
    NOT_OWNER,
}
