package org.cicadaarch.forwarding

import kotlin.time.Duration
import org.cicadaarch.dispatch.request.DispatchSettings
import org.cicadaarch.model.RouterAddress

/**
 * The settings of a router that forwards by routes. [readinessPath] answers 200 at [readinessAddress] while new
 * connections are wanted. Other routers reach this one at [peerAddress]; [seedPeers] are some of them, which may be
 * gone. A stopping router is killed [gracePeriod] after it was told.
 */
data class ForwardingSettings(
    val name: String,
    val callerAddress: RouterAddress,
    val readinessAddress: RouterAddress,
    val readinessPath: String,
    val peerAddress: RouterAddress,
    val seedPeers: List<RouterAddress>,
    val gracePeriod: Duration,
    val dispatch: DispatchSettings,
)
