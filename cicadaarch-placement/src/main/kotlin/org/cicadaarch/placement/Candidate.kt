package org.cicadaarch.placement

import org.cicadaarch.model.TargetId

/**
 * A target that may be chosen; its share of all keys is proportional to [weight], which must be positive.
 */
data class Candidate(val id: TargetId, val weight: Double) {
    init {
        require(weight > 0.0) { "weight of $id must be positive, was $weight" }
    }
}
