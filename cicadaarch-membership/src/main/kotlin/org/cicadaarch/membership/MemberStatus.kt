package org.cicadaarch.membership

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * What an update says of a router.
 */
@Serializable
enum class MemberStatus {
    /** The process has exited, or another process answers at its address; it never comes back. */
    @SerialName("d")
    DEPARTED,

    /** Suspected and not refuted in time. */
    @SerialName("r")
    REMOVED,

    /** Did not answer probes; has until its deadline to refute. */
    @SerialName("s")
    SUSPECT,

    /** Answers probes. */
    @SerialName("a")
    ALIVE,
}
