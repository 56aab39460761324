package org.cicadaarch.membership

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.cicadaarch.model.Revision
import org.cicadaarch.model.RouterId

/**
 * The header of every message: the sender's identity and a summary of its state.
 *
 * [revision] is the configuration that the sender runs, [tableDigest] the checksum of its member table including
 * itself, and [hasSuspicions] is true while it suspects any member.
 */
@Serializable
data class Sender(
    @SerialName("i") val id: RouterId,
    @SerialName("n") val incarnation: Long,
    @SerialName("p") val profile: MemberProfile,
    @SerialName("d") val tableDigest: Int,
    @SerialName("c") val revision: Revision = Revision.NONE,
    @SerialName("s") val hasSuspicions: Boolean = false,
)
