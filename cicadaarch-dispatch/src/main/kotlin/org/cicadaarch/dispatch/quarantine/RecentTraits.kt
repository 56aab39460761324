package org.cicadaarch.dispatch.quarantine

import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentHashSetOf

/**
 * Traits of requests that completed lately: between [GENERATION_SIZE] and twice as many of the latest ones.
 */
data class RecentTraits(
    private val newer: PersistentSet<RequestTrait> = persistentHashSetOf(),
    private val older: PersistentSet<RequestTrait> = persistentHashSetOf(),
) {
    /** Whether [trait] is one of them. */
    operator fun contains(trait: RequestTrait): Boolean = trait in newer || trait in older

    /** A copy with [traits]. */
    fun with(traits: Set<RequestTrait>): RecentTraits {
        val grown = newer.addAll(traits)
        if (grown === newer) return this
        return if (grown.size < GENERATION_SIZE) copy(newer = grown) else RecentTraits(older = grown)
    }

    companion object {
        /** Several times the prompt parts that are in use at a time. */
        const val GENERATION_SIZE = 2_048
    }
}
