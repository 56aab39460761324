package org.cicadaarch.membership

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.cicadaarch.model.RouterId

/**
 * A statement about a router's [status] at an [incarnation], disseminated by gossip.
 *
 * Only the router itself increments its incarnation. The [profile] is present only when the status is alive.
 */
@Serializable
data class MemberUpdate(
    @SerialName("i") val id: RouterId,
    @SerialName("n") val incarnation: Long,
    @SerialName("s") val status: MemberStatus,
    @SerialName("p") val profile: MemberProfile? = null,
)
