package org.cicadaarch.dispatch.capacity

import org.cicadaarch.model.TargetId

/**
 * Decides which attempts a target with limited capacity gets.
 *
 * With a prompt, the target keeps a share of its prompts, the same at all routers. Without, it takes part in the choice
 * for so many attempts that it gets no more than its share even if it is the least loaded target for all of them.
 */
class CapacityFilter(private val limited: Map<TargetId, TargetCapacity>) {
    /**
     * Those of [candidates] that an attempt should not use if there are others. Empty if more than half of [candidates]
     * have a limited capacity, as then the usual load is too much for the rest.
     */
    fun withheld(
        candidates: Collection<TargetId>,
        promptKey: String?,
        mayBeRepeated: Boolean,
        tieBreaker: Int,
    ): Set<TargetId> {
        if (limited.isEmpty()) return emptySet()
        val slow = candidates.filter { it in limited }
        if (slow.size * 2 > candidates.size) return emptySet()
        return slow.filterNotTo(HashSet()) { target ->
            val capacity = limited.getValue(target)
            val isAllowed = mayBeRepeated || !capacity.isProbed
            val share = if (promptKey != null) capacity.share else capacity.share * PLAIN_FACTOR / candidates.size
            isAllowed && fraction(target, promptKey?.hashCode() ?: tieBreaker) < share
        }
    }

    /** A number from 0 to 1, evenly spread over [key]s in sequence. */
    private fun fraction(target: TargetId, key: Int): Double {
        val mixed = (target.value.hashCode() * MULTIPLIER + key) * FIBONACCI_MULTIPLIER
        return mixed.toUInt().toDouble() / UInt.MAX_VALUE.toDouble()
    }

    private companion object {
        /** Doubled, since a target is not the least loaded one in all attempts for which it is a candidate. */
        const val PLAIN_FACTOR = 2.0
        const val MULTIPLIER = 31

        /** 2^32 divided by the golden ratio: the products of numbers in sequence are evenly spread. */
        const val FIBONACCI_MULTIPLIER = -0x61c88647
    }
}
