package org.cicadaarch.forwarding.simulation

import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.cicadaarch.forwarding.fleet.TargetRemovalPolicy
import org.cicadaarch.forwarding.peer.ObservedDispatch
import org.cicadaarch.model.RouterAddress
import org.cicadaarch.model.Timestamp

/** Routers that tell each other what their [dispatchers] observe, in virtual time. */
internal class SimulatedFleet(dispatchers: List<ObservedDispatch>, private val time: VirtualTime, random: Random) {
    private val store = SimulatedStore(time)
    private val addresses = dispatchers.indices.map { RouterAddress("10.0.${it / 200}.${it % 200 + 1}", 8000) }

    /** The network between the routers. */
    val network = SimulatedPeerNetwork(time)

    /** The routers, in the order of their dispatchers. */
    val routers = dispatchers.mapIndexed { index, dispatcher ->
        SimulatedRouter(
            address = addresses[index],
            seeds = addresses.take(SEED_COUNT),
            store = store,
            network = network,
            time = time,
            removalPolicy = REMOVAL_POLICY,
            dispatch = dispatcher,
        )
    }

    init {
        store.write("${SimulatedRouter.CONFIGURATION_PREFIX}document", "any")
        store.write("${SimulatedRouter.TARGET_PREFIX}any", "any")
        routers.forEach { time.after(random.nextInt(MAX_START_DELAY_MILLIS).milliseconds, it::start) }
    }

    /** Runs the routers without requests until they are settled, as the platform does. Returns the time after that. */
    fun settle(): Timestamp {
        time.runUntil(Timestamp(0) + SETTLING_TIME)
        return time.now
    }

    private companion object {
        const val SEED_COUNT = 3
        const val MAX_START_DELAY_MILLIS = 300

        /** The platform starts routers this long before their clients. */
        val SETTLING_TIME = 15.seconds
        val REMOVAL_POLICY = TargetRemovalPolicy(heartbeatInterval = 1200.milliseconds, drainTimeout = 3.seconds)
    }
}
