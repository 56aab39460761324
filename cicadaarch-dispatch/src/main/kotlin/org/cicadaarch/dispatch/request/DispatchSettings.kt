package org.cicadaarch.dispatch.request

import org.cicadaarch.model.ZoneName

/**
 * Where this router is and the bounds it keeps: no target should have more than [imbalanceFactor] times the mean load;
 * attempts after the first are at most [retryRatio] of the requests plus [retrySlack] for the whole fleet.
 */
data class DispatchSettings(
    val zone: ZoneName,
    val imbalanceFactor: Double,
    val retryRatio: Double,
    val retrySlack: Double,
)
