package org.cicadaarch.membership

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.cicadaarch.model.RouterId

/**
 * One router's [status] at its [incarnation], passed on from router to router.
 *
 * Only the router itself raises its incarnation. The [profile] is present when the status is alive.
 */
@Serializable
data class MemberUpdate(
    @SerialName("i") val id: RouterId,
    @SerialName("n") val incarnation: Long,
    @SerialName("s") val status: MemberStatus,
    @SerialName("p") val profile: MemberProfile? = null,
)
