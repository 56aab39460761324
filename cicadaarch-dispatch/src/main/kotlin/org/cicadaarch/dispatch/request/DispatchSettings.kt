package org.cicadaarch.dispatch.request

import org.cicadaarch.model.ZoneName

/**
 * The availability zone of this router and the bounds on its dispatch.
 *
 * The load of a target should not exceed [imbalanceFactor] times the mean. Across the whole fleet, the number of
 * attempts after the first is limited to [retryRatio] of the requests plus [retrySlack].
 */
data class DispatchSettings(
    val zone: ZoneName,
    val imbalanceFactor: Double,
    val retryRatio: Double,
    val retrySlack: Double,
)
