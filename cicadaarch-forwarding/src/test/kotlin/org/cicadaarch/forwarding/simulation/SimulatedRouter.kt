package org.cicadaarch.forwarding.simulation

import kotlin.time.Duration
import org.cicadaarch.forwarding.fleet.PrefixWatcher
import org.cicadaarch.forwarding.fleet.TargetRemovalPolicy
import org.cicadaarch.forwarding.peer.PeerSync
import org.cicadaarch.model.RouterAddress
import org.cicadaarch.model.Timestamp

/** The part of a router that learns of configurations and targets, in virtual time. */
internal class SimulatedRouter(
    val address: RouterAddress,
    seeds: List<RouterAddress>,
    store: SimulatedStore,
    private val network: SimulatedPeerNetwork,
    private val time: VirtualTime,
    removalPolicy: TargetRemovalPolicy,
) {
    private val storeClient = SimulatedStoreClient(store, time)
    private val configuration = watcher(CONFIGURATION_PREFIX, Duration.ZERO, Duration.ZERO) {}
    private val targets = watcher(TARGET_PREFIX, removalPolicy.gracePeriod, removalPolicy.minOutage) {
        known = it
    }
    private val peerSync = PeerSync(
        self = address,
        seeds = seeds,
        transport = network.transportOf(address),
        scheduler = time,
        prefixWatchers = mapOf(CONFIGURATION_PREFIX to configuration, TARGET_PREFIX to targets),
    )

    /** The targets that this router knows, by key. */
    var known = emptyMap<String, String>()
        private set

    /** When the last disturbance of this router ended; null while one goes on. */
    var calmSince: Timestamp? = Timestamp(0)
        private set

    fun start() {
        peerSync.listen()
        configuration.start()
        targets.start()
        peerSync.start()
    }

    /** Cuts the router off from the store and from all routers. */
    fun cut(withReset: Boolean) {
        calmSince = null
        network.cutOff += address
        storeClient.cut(withReset)
    }

    /** The store rejects the calls of this router. */
    fun reject() {
        calmSince = null
        storeClient.reject()
    }

    /** Ends [cut] and [reject]. */
    fun restore() {
        calmSince = time.now
        network.cutOff -= address
        storeClient.restore()
    }

    private fun watcher(
        prefix: String,
        removalGracePeriod: Duration,
        minOutage: Duration,
        onValues: (Map<String, String>) -> Unit,
    ) = PrefixWatcher(prefix, removalGracePeriod, minOutage, Int.MAX_VALUE, storeClient, time, onValues)

    companion object {
        const val CONFIGURATION_PREFIX = "configuration/"
        const val TARGET_PREFIX = "targets/"
    }
}
