package org.cicadaarch.placement

import org.cicadaarch.model.RegionName
import org.cicadaarch.model.TargetId
import org.cicadaarch.model.ZoneName

/**
 * A target that may be chosen; its share of all keys is proportional to [weight], which must be positive, times
 * [weightFactor], the part of its weight that it has regained since it last failed.
 */
data class Candidate(
    val id: TargetId,
    val weight: Double,
    val region: RegionName? = null,
    val zone: ZoneName? = null,
    val weightFactor: Double = 1.0,
) {
    init {
        require(weight > 0.0) { "weight of $id must be positive, was $weight" }
        require(weightFactor > 0.0 && weightFactor <= 1.0) {
            "weight factor of $id must be in (0, 1], was $weightFactor"
        }
    }
}
