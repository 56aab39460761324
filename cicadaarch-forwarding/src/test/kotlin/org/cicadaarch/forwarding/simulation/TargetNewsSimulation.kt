package org.cicadaarch.forwarding.simulation

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.cicadaarch.forwarding.fleet.TargetRemovalPolicy
import org.cicadaarch.model.RouterAddress
import org.cicadaarch.model.Timestamp

/**
 * A fleet of [routerCount] routers that learns of targets which join and leave, in virtual time.
 *
 * Every second target that leaves says so first; the entries of the others just disappear.
 */
internal class TargetNewsSimulation(routerCount: Int, seed: Long) {
    private val random = Random(seed)
    private val time = VirtualTime()
    private val store = SimulatedStore(time)
    private val network = SimulatedPeerNetwork(time)
    private val addresses = List(routerCount) { RouterAddress("10.0.${it / 200}.${it % 200 + 1}", 8000) }
    private val routers = addresses.map { address ->
        SimulatedRouter(address, seeds = addresses.take(SEED_COUNT), store, network, time, REMOVAL_POLICY)
    }
    private val present = ArrayDeque<String>()
    private val leftAt = LinkedHashMap<String, Timestamp>()
    private var nextTarget = 0

    init {
        repeat(TARGET_COUNT) { join() }
        routers.forEach { time.after(random.nextInt(MAX_START_DELAY_MILLIS).milliseconds, it::start) }
    }

    /** From [start] for [duration], [disturb] is in force at [share] of the routers. */
    fun disturb(start: Duration, duration: Duration, share: Double, disturb: (SimulatedRouter) -> Unit) {
        val affected = routers.shuffled(random).take((routers.size * share).toInt())
        time.after(start) { affected.forEach(disturb) }
        time.after(start + duration) { affected.forEach { it.restore() } }
    }

    /** Replaces a target every [interval] from [start] for [duration]. */
    fun replaceTargets(start: Duration, duration: Duration, interval: Duration) {
        var at = start
        while (at < start + duration) {
            time.after(at) {
                leave()
                join()
            }
            at += interval
        }
    }

    /**
     * Runs for [duration]. Returns the routers that used a target later than the drain timeout after it left, although
     * they had not been disturbed for [CONTACT_TIME].
     */
    fun run(duration: Duration): Set<LateRouter> {
        val late = LinkedHashSet<LateRouter>()
        while (time.now < Timestamp(0) + duration) {
            time.runUntil(time.now + CHECK_INTERVAL)
            routers.filter { router -> isInContact(router) }.forEach { late += lateTargets(it) }
        }
        return late
    }

    private fun isInContact(router: SimulatedRouter): Boolean =
        router.calmSince.let { it != null && time.now - it >= CONTACT_TIME }

    private fun lateTargets(router: SimulatedRouter): List<LateRouter> = leftAt
        .filter { (key, at) -> time.now - at > REMOVAL_POLICY.drainTimeout && router.known[key] == READY }
        .map { (key, at) -> LateRouter(router.address, key, at) }

    private fun join() {
        val key = "${SimulatedRouter.TARGET_PREFIX}target-${nextTarget++}"
        present.addLast(key)
        store.write(key, READY)
    }

    private fun leave() {
        val key = present.removeFirst()
        val reportsDraining = leftAt.size % 2 == 0
        leftAt[key] = time.now
        store.write(key, if (reportsDraining) "draining" else null)
        if (reportsDraining) time.after(REMOVAL_POLICY.drainTimeout) { store.write(key, null) }
    }

    /** [router] still used [target], which left at [leftAt]. */
    data class LateRouter(val router: RouterAddress, val target: String, val leftAt: Timestamp)

    private companion object {
        const val SEED_COUNT = 3
        const val TARGET_COUNT = 40
        const val MAX_START_DELAY_MILLIS = 300
        const val READY = "ready"
        val CONTACT_TIME = 4.seconds
        val CHECK_INTERVAL = 100.milliseconds
        val REMOVAL_POLICY = TargetRemovalPolicy(heartbeatInterval = 1200.milliseconds, drainTimeout = 3.seconds)
    }
}
