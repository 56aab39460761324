package org.cicadaarch.membership

import org.cicadaarch.model.RouterInfo
import org.cicadaarch.model.Timestamp

/**
 * A former member, removed at [removedAt] with [incarnation]. When [departed], it never comes back.
 */
internal data class Tombstone(
    val info: RouterInfo,
    val incarnation: Long,
    val removedAt: Timestamp,
    val departed: Boolean,
) {
    /** The update that tells others of the removal. */
    fun toUpdate(): MemberUpdate = MemberUpdate(
        id = info.id,
        incarnation = incarnation,
        status = if (departed) MemberStatus.DEPARTED else MemberStatus.REMOVED,
    )
}
