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
        val keyHash = keyHashFunction.hashChars(key)
        return members
            .map { member -> member to score(keyHash, name(member), weight(member)) }
            .sortedWith(compareByDescending<Pair<T, Double>> { it.second }.thenBy { name(it.first) })
            .map { it.first }
    }

    /** Returns the one of [members] with the highest score for [key], or null if there are none. */
    fun <T> first(key: String, members: Collection<T>, name: (T) -> String): T? {
        val keyHash = keyHashFunction.hashChars(key)
        var best: T? = null
        var bestScore = Double.NEGATIVE_INFINITY
        for (member in members) {
            val score = score(keyHash, name(member), weight = 1.0)
            val isBetter = score > bestScore || (score == bestScore && best != null && name(member) > name(best))
            if (isBetter) {
                best = member
                bestScore = score
            }
        }
        return best
    }

    private fun score(keyHash: Long, name: String, weight: Double): Double {
        val hash = LongHashFunction.xx3(keyHash).hashChars(name)
        val fraction = ((hash ushr (Long.SIZE_BITS - FRACTION_BITS)) + 1) * UNIT
        return -weight / ln(fraction.coerceAtMost(1.0 - UNIT))
    }
}
