package org.cicadaarch.forwarding

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import org.cicadaarch.dispatch.request.DispatchSettings
import org.cicadaarch.model.RouterAddress

/**
 * The settings of a router that forwards by routes. [readinessPath] answers 200 at [readinessAddress] while new
 * connections are wanted. Other routers reach this one at [peerAddress]; [seedPeers] are some of them, which may be
 * gone. A stopping router is killed [gracePeriod] after it was told. A target writes its entry every
 * [targetHeartbeatInterval] and may be used for [drainTimeout] after it left. Requests that come before the first
 * configuration are held until [startupHoldTime] after the start.
 */
data class ForwardingSettings(
    val name: String,
    val listenAddress: RouterAddress,
    val readinessAddress: RouterAddress,
    val readinessPath: String,
    val peerAddress: RouterAddress,
    val seedPeers: List<RouterAddress>,
    val gracePeriod: Duration,
    val targetHeartbeatInterval: Duration,
    val drainTimeout: Duration,
    val dispatch: DispatchSettings,
    val startupHoldTime: Duration = 500.milliseconds,
)
