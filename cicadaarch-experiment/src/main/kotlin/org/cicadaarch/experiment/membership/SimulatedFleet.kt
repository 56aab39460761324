package org.cicadaarch.experiment.membership

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import org.cicadaarch.membership.ListedVm
import org.cicadaarch.model.RouterAddress
import org.cicadaarch.model.RouterId
import org.cicadaarch.model.RouterInfo
import org.cicadaarch.model.Timestamp

/**
 * A fleet of [layout] on a [MembershipNetwork], addressed by VM index, with a log of the view changes.
 */
class SimulatedFleet<M>(
    val layout: FleetLayout,
    seed: Long,
    quality: LinkQuality = LinkQuality(),
    transfer: (M) -> M = { it },
    private val newNode: (RouterInfo, Timestamp) -> FleetNode<M>,
) {
    private val processes = IntArray(layout.routers)
    private val current = arrayOfNulls<RouterInfo>(layout.routers)
    private val log = mutableListOf<ViewChange>()

    /** Whether view changes are kept in [changes]. */
    var recording = true

    /** The network under the fleet. */
    val network = MembershipNetwork(seed, quality, transfer) { viewer, added, removed, now ->
        if (recording) {
            added.mapTo(log) { ViewChange(viewer, it, gained = true, at = now) }
            removed.mapTo(log) { ViewChange(viewer, it, gained = false, at = now) }
        }
    }

    /** The view changes so far, in order. */
    val changes: List<ViewChange> get() = log

    /** The identities of the running processes. */
    val runningIds: Set<RouterId> get() = current.mapNotNullTo(mutableSetOf()) { it?.id }

    /** Lists all VMs and starts a process on each. */
    fun startAll() {
        repeat(layout.routers) { listVm(it) }
        repeat(layout.routers) { start(it) }
    }

    /** Adds VM [index] to the platform's list, live or [leaving]. */
    fun listVm(index: Int, leaving: Boolean = false) {
        val zone = layout.router(index, process = 0).zone
        network.list.put(ListedVm(layout.address(index), zone, leaving), network.now)
    }

    /** Takes VM [index] out of the platform's list. */
    fun unlistVm(index: Int) = network.list.remove(layout.address(index), network.now)

    /** Starts a new process on VM [index], in the place of one that runs there. */
    fun start(index: Int): RouterInfo {
        val info = layout.router(index, processes[index]++)
        current[index] = info
        network.start(newNode(info, network.now))
        return info
    }

    /** Ends the process on VM [index] without notice. */
    fun crash(index: Int) {
        network.stop(layout.address(index))
        current[index] = null
    }

    /** Ends the process on VM [index] with a goodbye. */
    fun depart(index: Int) {
        network.depart(layout.address(index))
        current[index] = null
    }

    /** The running process on VM [index]. */
    fun infoOf(index: Int): RouterInfo = checkNotNull(current[index]) { "no process runs on VM $index" }

    /** The process that runs at [address], if any. */
    fun runningAt(address: RouterAddress): RouterInfo? = current.firstOrNull { it?.address == address }

    /** Whether a process runs on VM [index]. */
    fun runs(index: Int): Boolean = current[index] != null

    /** Whether every running, awake router's view is exactly the running routers that [wanted] keeps for it. */
    fun agrees(wanted: (viewer: RouterInfo, router: RouterInfo) -> Boolean = { _, _ -> true }): Boolean {
        val running = current.filterNotNull()
        if (network.running.first().view.routers.size == 1 && running.size > 1) return false
        return network.running.filter { network.isAwake(it.self.address) }.all { node ->
            node.view.routers.keys == running.filter { wanted(node.self, it) }.mapTo(mutableSetOf()) { it.id }
        }
    }

    /** Runs until [agrees] holds, looking every [step]; returns the time that it took, or null after [limit]. */
    fun runUntilAgreed(
        limit: Duration,
        step: Duration = LOOK_PERIOD,
        wanted: (viewer: RouterInfo, router: RouterInfo) -> Boolean = { _, _ -> true },
    ): Duration? {
        val start = network.now
        while (!agrees(wanted)) {
            if (network.now - start >= limit) return null
            network.run(step)
        }
        return network.now - start
    }

    private companion object {
        val LOOK_PERIOD = 100.milliseconds
    }
}
