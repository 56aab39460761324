package org.cicadaarch.experiment.membership

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.cicadaarch.membership.MemberProfile
import org.cicadaarch.model.Revision
import org.cicadaarch.model.RouterId

/**
 * The message of the all-to-all baseline; it carries the same identity and digest as a probe.
 */
@Serializable
data class Heartbeat(
    @SerialName("i") val id: RouterId,
    @SerialName("p") val profile: MemberProfile,
    @SerialName("c") val revision: Revision = Revision.NONE,
)
