package org.cicadaarch.membership

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.cicadaarch.model.RouterAddress
import org.cicadaarch.model.RouterId

/**
 * All members, indexed by ID and by address, with an order-independent [digest] (XOR of the record hashes).
 */
internal data class MemberTable(
    val members: PersistentMap<RouterId, Member> = persistentMapOf(),
    val idsByAddress: PersistentMap<RouterAddress, RouterId> = persistentMapOf(),
    val digest: Int = 0,
) {
    val size: Int get() = members.size

    operator fun get(id: RouterId): Member? = members[id]

    operator fun contains(id: RouterId): Boolean = id in members

    /** Returns the member at [address], or null. */
    fun at(address: RouterAddress): Member? = idsByAddress[address]?.let { members[it] }

    /** Returns a table in which [member] is added or replaces the record with the same ID. */
    fun with(member: Member): MemberTable {
        val cleared = members[member.info.id]?.let { digest xor RecordHash.of(it) } ?: digest
        return MemberTable(
            members = members.put(member.info.id, member),
            idsByAddress = idsByAddress.put(member.info.address, member.info.id),
            digest = cleared xor RecordHash.of(member),
        )
    }

    /** Returns a table without the member [id]. */
    fun without(id: RouterId): MemberTable {
        val member = members[id] ?: return this
        return MemberTable(
            members = members.remove(id),
            idsByAddress = idsByAddress.remove(member.info.address, id),
            digest = digest xor RecordHash.of(member),
        )
    }
}
