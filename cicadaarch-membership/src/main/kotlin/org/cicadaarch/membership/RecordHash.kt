package org.cicadaarch.membership

import org.cicadaarch.model.RouterId
import org.cicadaarch.model.RouterInfo

/**
 * Hashes of member records that are equal on all routers.
 */
internal object RecordHash {
    private const val FIRST_MULTIPLIER = -0x7a143595
    private const val SECOND_MULTIPLIER = -0x3d4d51cb
    private const val FOLD_SHIFT = 32
    private const val FIRST_SHIFT = 16
    private const val SECOND_SHIFT = 13

    /** The hash of what other routers have to agree on of [member]. */
    fun of(member: Member): Int = of(member.info, member.incarnation)

    /** The hash of the router [info] at [incarnation]. */
    fun of(info: RouterInfo, incarnation: Long): Int {
        val version = mix((incarnation xor (incarnation ushr FOLD_SHIFT)).toInt())
        val leaving = if (info.leaving) 1 else 0
        return mix(mix(info.id.value.hashCode()) + version + leaving)
    }

    /** The bucket of [id] when the table has [buckets] buckets, a power of two. */
    fun bucket(id: RouterId, buckets: Int): Int = mix(id.value.hashCode()) and (buckets - 1)

    /** A hash of [value] in which each bit depends on all bits (the 32-bit finalizer of MurmurHash3). */
    fun mix(value: Int): Int {
        val first = (value xor (value ushr FIRST_SHIFT)) * FIRST_MULTIPLIER
        val second = (first xor (first ushr SECOND_SHIFT)) * SECOND_MULTIPLIER
        return second xor (second ushr FIRST_SHIFT)
    }
}
