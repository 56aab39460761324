package org.cicadaarch.forwarding.simulation

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.cicadaarch.forwarding.fleet.TargetRemovalPolicy
import org.cicadaarch.forwarding.peer.PeerDirectory
import org.cicadaarch.model.RouterAddress

/** A fleet of [routerCount] routers that learns of a new configuration, in virtual time. */
internal class ConfigurationNewsSimulation(routerCount: Int, seed: Long) {
    private val random = Random(seed)
    private val time = VirtualTime()
    private val store = SimulatedStore(time)
    private val network = SimulatedPeerNetwork(time)
    private val addresses = List(routerCount) { RouterAddress("10.0.${it / 200}.${it % 200 + 1}", 8000) }
    private val routers = addresses.map { address ->
        SimulatedRouter(address, seeds = addresses.take(SEED_COUNT), store, network, time, REMOVAL_POLICY)
    }

    init {
        store.write(KEY, "old")
        routers.forEach { time.after(random.nextInt(MAX_START_DELAY_MILLIS).milliseconds, it::start) }
    }

    /** The calls to the store in [duration] without a disturbance, in the price of a full read. */
    fun storeCalls(duration: Duration): Double {
        runFor(CALM_TIME)
        val before = routers.sumOf { it.storeCalls }
        runFor(duration)
        return routers.sumOf { it.storeCalls } - before
    }

    /**
     * Writes a new configuration [delay] after [disturb] was applied to a [share] of the routers, the first ones by
     * [choice]. Returns how long it takes until each undisturbed router knows the configuration.
     */
    fun timeOfNews(choice: Choice, share: Double, delay: Duration, disturb: (SimulatedRouter) -> Unit): Duration {
        runFor(CALM_TIME + random.nextInt(MAX_WATCH_MILLIS).milliseconds)
        val disturbed = ordered(choice).take((routers.size * share).toInt())
        disturbed.forEach(disturb)
        runFor(delay)
        store.write(KEY, "new")
        val writtenAt = time.now
        val undisturbed = routers - disturbed.toSet()
        while (time.now - writtenAt < MAX_TIME && undisturbed.any { it.knownConfiguration[KEY] != "new" }) {
            runFor(STEP)
        }
        return time.now - writtenAt
    }

    private fun ordered(choice: Choice): List<SimulatedRouter> = when (choice) {
        Choice.LAST_READERS -> routers.sortedByDescending { it.lastReadAt?.milliseconds }

        Choice.CANDIDATES -> {
            val directory = PeerDirectory(addresses.first(), addresses, SimulatedRouter.CONFIGURATION_APPLY_TIME)
            val candidates = directory.candidates(time.now).map { address -> routers.first { it.address == address } }
            candidates + (routers - candidates.toSet())
        }
    }

    private fun runFor(duration: Duration) = time.runUntil(time.now + duration)

    /** Which routers are disturbed first. */
    enum class Choice {
        /** Those that read from the store last. */
        LAST_READERS,

        /** Those that may come to watch the store for others, by rank. */
        CANDIDATES,
    }

    private companion object {
        const val KEY = "${SimulatedRouter.CONFIGURATION_PREFIX}document"
        const val SEED_COUNT = 3
        const val MAX_START_DELAY_MILLIS = 300
        const val MAX_WATCH_MILLIS = 10_000

        /** Until the routers agree on those that watch the store. */
        val CALM_TIME = 14.seconds
        val STEP = 20.milliseconds
        val MAX_TIME = 20.seconds
        val REMOVAL_POLICY = TargetRemovalPolicy(heartbeatInterval = 1200.milliseconds, drainTimeout = 3.seconds)
    }
}
