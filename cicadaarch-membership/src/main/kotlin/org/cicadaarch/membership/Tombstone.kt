package org.cicadaarch.membership

import org.cicadaarch.model.RouterInfo
import org.cicadaarch.model.Timestamp

/**
 * The record of a former member, removed at [removedAt] with [incarnation]. When [departed], it never rejoins.
 */
internal data class Tombstone(
    val info: RouterInfo,
    val incarnation: Long,
    val removedAt: Timestamp,
    val departed: Boolean,
) {
    /** Returns the update that reports the removal or departure. */
    fun toUpdate(): MemberUpdate = MemberUpdate(
        id = info.id,
        incarnation = incarnation,
        status = if (departed) MemberStatus.DEPARTED else MemberStatus.REMOVED,
    )
}
