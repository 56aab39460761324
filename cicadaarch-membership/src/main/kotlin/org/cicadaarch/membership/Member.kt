package org.cicadaarch.membership

import org.cicadaarch.model.RouterInfo
import org.cicadaarch.model.Timestamp

/**
 * A live or suspected router with its highest known [incarnation]; eligible for roles from [eligibleFrom] on.
 */
internal data class Member(val info: RouterInfo, val incarnation: Long, val eligibleFrom: Timestamp) {
    /** Returns the update that announces this member as alive. */
    fun toUpdate(): MemberUpdate = MemberUpdate(info.id, incarnation, MemberStatus.ALIVE, MemberProfile.of(info))
}
