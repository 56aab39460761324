package org.cicadaarch.placement

import kotlin.math.ln
import net.openhft.hashing.LongHashFunction

/**
 * Weighted rendezvous hashing (highest random weight; Thaler and Ravishankar, 1998).
 *
 * All routers compute the same order from the same members. When a member joins or leaves, only the keys that it gains
 * or held are moved.
 */
object RendezvousHash {
    private val keyHashFunction = LongHashFunction.xx3()
    private const val FRACTION_BITS = 53
    private const val UNIT = 1.0 / (1L shl FRACTION_BITS)

    /** Returns the [members] in the order of their score for [key], highest first. */
    fun <T> rank(key: String, members: Collection<T>, name: (T) -> String, weight: (T) -> Double = { 1.0 }): List<T> {
        val memberHash = memberHashFunction(key)
        return members
            .map { member -> member to score(memberHash.hashChars(name(member)), weight(member)) }
            .sortedWith(compareByDescending<Pair<T, Double>> { it.second }.thenBy { name(it.first) })
            .map { it.first }
    }

    /** Returns the one of [members] with the highest score for [key], or null if there are none. */
    fun <T> first(key: String, members: Collection<T>, name: (T) -> String): T? {
        val memberHash = memberHashFunction(key)
        var best: T? = null
        var bestBits = -1L
        for (member in members) {
            val bits = fractionBits(memberHash.hashChars(name(member)))
            val isBetter = bits > bestBits || (bits == bestBits && best != null && name(member) < name(best))
            if (isBetter) {
                best = member
                bestBits = bits
            }
        }
        return best
    }

    /** The hash of members' names for [key]. It is made once for all members, since its seed takes long to expand. */
    private fun memberHashFunction(key: String): LongHashFunction = LongHashFunction.xx3(keyHashFunction.hashChars(key))

    /** The score grows with these bits of a member's hash. */
    private fun fractionBits(hash: Long): Long = hash ushr (Long.SIZE_BITS - FRACTION_BITS)

    private fun score(hash: Long, weight: Double): Double {
        val fraction = (fractionBits(hash) + 1) * UNIT
        return -weight / ln(fraction.coerceAtMost(1.0 - UNIT))
    }
}
