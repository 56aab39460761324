package org.cicadaarch.forwarding

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import org.cicadaarch.dispatch.request.DispatchSettings
import org.cicadaarch.model.RouterAddress
import org.cicadaarch.store.MemoryBudget

/**
 * Settings of a router that forwards requests by routes. For a listening address with port 0, the system picks a free
 * port.
 *
 * [readinessPath] at [readinessAddress] responds with status 200 while new connections are accepted. Other routers
 * reach this one at [peerAddress]; [seedPeers] are some of them and may include routers that no longer run. The process
 * is killed [gracePeriod] after it is told to stop.
 *
 * A configuration is to be in force [configurationApplyTime] after the store has accepted it.
 *
 * Targets write their entries every [targetHeartbeatInterval] and may be used for [drainTimeout] after they leave.
 * Requests that arrive before the first configuration are held until [startupHoldTime] after the start.
 *
 * Responses that wait for their clients take up at most [maxUnsentBytes] together.
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
    val configurationApplyTime: Duration,
    val dispatch: DispatchSettings,
    val startupHoldTime: Duration = 500.milliseconds,
    val maxUnsentBytes: Long = MemoryBudget.bytesOfProcess(UNSENT_MEMORY_SHARE),
) {
    private companion object {
        const val UNSENT_MEMORY_SHARE = 0.125
    }
}
