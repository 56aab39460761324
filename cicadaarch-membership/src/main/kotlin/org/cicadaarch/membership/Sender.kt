package org.cicadaarch.membership

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.cicadaarch.model.Revision
import org.cicadaarch.model.RouterId

/**
 * The head of every message: who sends it, and small digests of what the sender holds.
 *
 * [revision] is the installed configuration, [tableDigest] a checksum of the member table, and [suspects] tells that
 * the sender suspects some router at present.
 */
@Serializable
data class Sender(
    @SerialName("i") val id: RouterId,
    @SerialName("n") val incarnation: Long,
    @SerialName("p") val profile: MemberProfile,
    @SerialName("d") val tableDigest: Int,
    @SerialName("c") val revision: Revision = Revision.NONE,
    @SerialName("s") val suspects: Boolean = false,
)
