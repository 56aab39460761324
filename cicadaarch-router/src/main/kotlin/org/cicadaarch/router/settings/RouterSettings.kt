package org.cicadaarch.router.settings

import kotlin.time.Duration
import org.cicadaarch.model.RegionName
import org.cicadaarch.model.RouterAddress
import org.cicadaarch.model.ZoneName

/**
 * The settings of a router process. Addresses are where it listens, or where the platform does.
 */
data class RouterSettings(
    val callerAddress: RouterAddress,
    val operatorsAddress: RouterAddress,
    val peerAddress: RouterAddress,
    val zone: ZoneName,
    val region: RegionName,
    val storeAddress: RouterAddress,
    val vmListAddress: RouterAddress,
    val traceEndpoint: String?,
    val drainNotice: Duration,
    val drainTimeout: Duration,
    val maximumConnections: Int,
    val maximumHeadBytes: Int,
    val maximumBodyBytes: Int,
)
