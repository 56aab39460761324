package org.cicadaarch.orders

/** Faults that the oracle must catch; they stand in for mistakes in the reducers, the shell or the platform. */
internal enum class SeededFault {
    /** The shell sends an order after its deadline, when the process was paused before sending. */
    SEND_DEADLINE_IGNORED,

    /** Engines that are said to check fencing numbers do not. */
    FENCING_NOT_CHECKED,

    /** A new holder treats engines that do not check fencing numbers like those that do. */
    QUIET_TIME_SKIPPED,
}
