package org.cicadaarch.membership

import org.cicadaarch.model.RouterId
import org.cicadaarch.model.RouterInfo

/**
 * Hashes of member records; all routers compute the same value for the same record.
 */
internal object RecordHash {
    private const val FIRST_MULTIPLIER = -0x7a143595
    private const val SECOND_MULTIPLIER = -0x3d4d51cb
    private const val FOLD_SHIFT = 32
    private const val FIRST_SHIFT = 16
    private const val SECOND_SHIFT = 13

    /** Hashes the part of [member] on which all routers have to agree. */
    fun of(member: Member): Int = of(member.info, member.incarnation)

    /** Hashes the ID and leaving flag of [info], and [incarnation]. */
    fun of(info: RouterInfo, incarnation: Long): Int {
        val version = mix((incarnation xor (incarnation ushr FOLD_SHIFT)).toInt())
        val leaving = if (info.leaving) 1 else 0
        return mix(mix(info.id.value.hashCode()) + version + leaving)
    }

    /** Returns the bucket of [id] in a table of [buckets] buckets, which must be a power of two. */
    fun bucket(id: RouterId, buckets: Int): Int = mix(id.value.hashCode()) and (buckets - 1)

    /** Mixes [value] so that each bit affects all bits (the 32-bit finalizer of MurmurHash3). */
    fun mix(value: Int): Int {
        val first = (value xor (value ushr FIRST_SHIFT)) * FIRST_MULTIPLIER
        val second = (first xor (first ushr SECOND_SHIFT)) * SECOND_MULTIPLIER
        return second xor (second ushr FIRST_SHIFT)
    }
}
