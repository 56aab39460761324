package org.cicadaarch.membership

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.cicadaarch.model.RouterAddress
import org.cicadaarch.model.RouterId

/**
 * All members by identity and by address, with a [digest] that does not depend on their order.
 */
internal data class MemberTable(
    val members: PersistentMap<RouterId, Member> = persistentMapOf(),
    val idsByAddress: PersistentMap<RouterAddress, RouterId> = persistentMapOf(),
    val digest: Int = 0,
) {
    val size: Int get() = members.size

    operator fun get(id: RouterId): Member? = members[id]

    operator fun contains(id: RouterId): Boolean = id in members

    /** The member at [address], if any. */
    fun at(address: RouterAddress): Member? = idsByAddress[address]?.let { members[it] }

    /** The table with [member] added, or replaced by a later record of the same identity. */
    fun with(member: Member): MemberTable {
        val cleared = members[member.info.id]?.let { digest xor RecordHash.of(it) } ?: digest
        return MemberTable(
            members = members.put(member.info.id, member),
            idsByAddress = idsByAddress.put(member.info.address, member.info.id),
            digest = cleared xor RecordHash.of(member),
        )
    }

    /** The table without the member [id]. */
    fun without(id: RouterId): MemberTable {
        val member = members[id] ?: return this
        return MemberTable(
            members = members.remove(id),
            idsByAddress = idsByAddress.remove(member.info.address, id),
            digest = digest xor RecordHash.of(member),
        )
    }
}
