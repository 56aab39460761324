package org.cicadaarch.experiment.membership

import kotlin.math.log10
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import org.cicadaarch.membership.ListedVm
import org.cicadaarch.membership.MembershipSettings
import org.cicadaarch.model.RouterId
import org.cicadaarch.model.RouterInfo
import org.cicadaarch.model.Timestamp

/**
 * A small fleet under faults with its oracle: which losses from views no fault explains, and the bound after which all
 * views are the set of running routers.
 */
class FaultyFleet(settings: MembershipSettings = MembershipSettings(), seed: Long = 1) {
    private val fleet = probingFleet(LAYOUT, seed, settings)
    private val cuts = mutableListOf<MembershipNetwork.Cut>()
    private val disturbed = mutableMapOf<RouterId, Timestamp>()
    private var seenChanges = 0

    /** Losses from views that no fault explains. */
    val unexplained = mutableListOf<ViewChange>()

    init {
        fleet.startAll()
        check(fleet.runUntilAgreed(30.seconds) != null) { "the fleet did not start" }
        fleet.network.run(10.seconds)
        seenChanges = fleet.changes.size
    }

    fun run(duration: Duration) {
        fleet.network.run(duration)
        stillDisturbed().forEach { disturbed[it] = fleet.network.now }
        val lost = fleet.changes.drop(seenChanges).filter { !it.gained }
        seenChanges = fleet.changes.size
        lost.filterTo(unexplained) { it.router in fleet.runningIds && !isExcused(it.router) && !isExcused(it.viewer) }
    }

    fun crash(index: Int) = fleet.crash(index)

    fun restart(index: Int) {
        fleet.start(index)
        fleet.listVm(index)
    }

    fun leave(index: Int) {
        if (!fleet.runs(index)) return
        fleet.network.leave(LAYOUT.address(index))
        run(2.seconds)
        if (fleet.network.isAwake(LAYOUT.address(index))) fleet.depart(index)
    }

    fun freeze(index: Int) = fleet.network.freeze(LAYOUT.address(index))

    fun thaw(index: Int) = fleet.network.thaw(LAYOUT.address(index))

    fun cutZones(from: Int, to: Int) = cut({ zoneOf(it) == from % LAYOUT.zones }, { zoneOf(it) == to % LAYOUT.zones })

    fun cutRouter(index: Int, receives: Boolean) {
        val router = { info: RouterInfo -> info.address == LAYOUT.address(index) }
        if (receives) cut(router) { true } else cut({ true }, router)
    }

    fun healCuts() {
        cuts.forEach(fleet.network::heal)
        cuts.clear()
    }

    fun lose(share: Double) {
        fleet.network.quality = fleet.network.quality.copy(loss = share, duplication = share)
    }

    fun listDown(down: Boolean) {
        fleet.network.list.down = down
    }

    fun unlist(index: Int) = fleet.unlistVm(index)

    /** A VM that nobody runs on, listed for good. */
    fun listGhost(index: Int) {
        val ghost = LAYOUT.address(LAYOUT.routers + index)
        fleet.network.list.put(ListedVm(ghost, fleet.layout.router(index, process = 0).zone), fleet.network.now)
    }

    /** Ends all faults, and tells whether all views are right within the [AGREEMENT_BOUND]. */
    fun agreesOnceFaultsEnd(): Boolean {
        healCuts()
        lose(0.0)
        listDown(false)
        repeat(LAYOUT.routers) { index ->
            thaw(index)
            if (fleet.runs(index)) fleet.listVm(index)
        }
        return fleet.runUntilAgreed(AGREEMENT_BOUND, step = 1.seconds) != null
    }

    private fun cut(from: (RouterInfo) -> Boolean, to: (RouterInfo) -> Boolean) {
        cuts += fleet.network.cut(from, to)
    }

    private fun stillDisturbed(): List<RouterId> = fleet.network.running.map { it.self }.filter { router ->
        !fleet.network.isAwake(router.address) || cuts.any { it.from(router) || it.to(router) }
    }.map { it.id }

    private fun isExcused(id: RouterId): Boolean {
        val last = disturbed[id] ?: return false
        return fleet.network.now - last < DETECTION_BOUND
    }

    private fun zoneOf(router: RouterInfo): Int =
        (0 until LAYOUT.routers).first { LAYOUT.address(it) == router.address } % LAYOUT.zones

    companion object {
        val LAYOUT = FleetLayout(routers = 9, zones = 3, regions = 1)

        private val SETTINGS = MembershipSettings()

        /** The longest time from a failure to the removal: one round of probes and a suspicion at the worst health. */
        val DETECTION_BOUND: Duration = with(SETTINGS) {
            val suspicion = probePeriod * suspicionMultiplier * maxOf(1.0, log10(LAYOUT.routers + 1.0))
            (probePeriod * LAYOUT.routers * 2 + directTimeout + indirectTimeout + suspicion) * (healthLimit + 1)
        }

        /** Detection, probes of all addresses, a reading of the list, two comparisons and the longest unsteady time. */
        val AGREEMENT_BOUND: Duration = with(SETTINGS) {
            DETECTION_BOUND + discoveryPeriod * LAYOUT.routers * 2 + listFetchPeriod + syncPeriod * 2 +
                probationPeriodLimit
        }
    }
}
