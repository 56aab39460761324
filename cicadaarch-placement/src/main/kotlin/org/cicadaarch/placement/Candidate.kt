package org.cicadaarch.placement

import org.cicadaarch.model.RegionName
import org.cicadaarch.model.TargetId
import org.cicadaarch.model.ZoneName

/**
 * A target that can be chosen. Its share of all keys is proportional to [weight] times [weightFactor]. The factor is
 * lower than 1 while a target that failed repeatedly has not been up for long enough.
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
