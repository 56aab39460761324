package org.cicadaarch.membership

import org.cicadaarch.model.RouterInfo
import org.cicadaarch.model.Timestamp

/**
 * A live router: its [info] at its greatest known [incarnation]; fit for roles from [fitFrom] on.
 */
internal data class Member(val info: RouterInfo, val incarnation: Long, val eligibleFrom: Timestamp) {
    /** The update that tells others of this member. */
    fun toUpdate(): MemberUpdate = MemberUpdate(info.id, incarnation, MemberStatus.ALIVE, MemberProfile.of(info))
}
