package org.cicadaarch.membership

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * The state of a router as stated by a [MemberUpdate].
 *
 * Updates with equal transmission counts are sent in the order of these constants.
 */
@Serializable
enum class MemberStatus {
    /** The process has exited or another process responds at its address; this router ID never rejoins. */
    @SerialName("d")
    DEPARTED,

    /** Removed because the suspicion was not refuted in time. */
    @SerialName("r")
    REMOVED,

    /** Failed to respond to probes; removed unless it refutes the suspicion before the deadline. */
    @SerialName("s")
    SUSPECT,

    /** Responds to probes. */
    @SerialName("a")
    ALIVE,
}
