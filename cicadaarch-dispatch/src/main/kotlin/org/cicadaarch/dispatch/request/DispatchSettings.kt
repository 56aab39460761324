package org.cicadaarch.dispatch.request

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import org.cicadaarch.model.ZoneName

/**
 * The availability zone of this router and the bounds on its dispatch.
 *
 * The load of a target should not exceed [imbalanceFactor] times the mean. Across the whole fleet, the number of
 * attempts after the first is limited to [retryRatio] of the requests plus [retrySlack].
 *
 * [evacuationTime] after operators requested the evacuation of a zone, its targets get nothing more. In any second, a
 * target that warms up gets at most [warmUpOverrun] times the rate that it takes plus [warmUpSlack] requests, from the
 * whole fleet.
 */
data class DispatchSettings(
    val zone: ZoneName,
    val imbalanceFactor: Double,
    val retryRatio: Double,
    val retrySlack: Double,
    val evacuationTime: Duration = 5.seconds,
    val warmUpOverrun: Double = 1.0,
    val warmUpSlack: Double = 0.0,
)
