package org.cicadaarch.experiment.membership

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import org.cicadaarch.model.RouterId
import org.cicadaarch.model.RouterInfo
import org.cicadaarch.model.Timestamp

/**
 * Brings about one scenario in a started and settled fleet and measures the views.
 */
class ScenarioRunner<M>(private val newFleet: () -> SimulatedFleet<M>) {
    /** Runs [scenario] in a new fleet. */
    fun run(scenario: FleetScenario): ScenarioResult {
        val fleet = newFleet()
        fleet.recording = false
        fleet.startAll()
        val joined = fleet.runUntilAgreed(limit = JOIN_LIMIT)
        fleet.network.run(SETTLE_TIME)
        fleet.recording = true
        fleet.network.traffic.reset()
        val begin = fleet.network.now
        val fault = bringAbout(scenario, fleet)
        return measured(fleet, joined, begin, fault)
    }

    private fun bringAbout(scenario: FleetScenario, fleet: SimulatedFleet<M>): Fault = when (scenario) {
        FleetScenario.STEADY -> fleet.harmless(1.minutes)
        FleetScenario.CRASH -> fleet.ending { crash(VICTIM) }
        FleetScenario.LIST_DOWN -> fleet.listDown()
        FleetScenario.RESTART -> fleet.ending { start(VICTIM) }
        FleetScenario.LEAVE -> fleet.leaving()
        FleetScenario.ZONE_LOST -> fleet.ending { crashZone() }
        FleetScenario.REGION_CUT -> fleet.regionCut()
        FleetScenario.RECEIVE_CUT -> fleet.halfCut(receives = false)
        FleetScenario.SEND_CUT -> fleet.halfCut(receives = true)
        FleetScenario.LINK_CUT -> fleet.linkCut()
        FleetScenario.PAUSE -> fleet.paused(times = 1, pause = 20.seconds, between = Duration.ZERO)
        FleetScenario.FLAPPING -> fleet.paused(times = 5, pause = 8.seconds, between = 4.seconds)
        FleetScenario.LOSS -> fleet.lossy(share = 0.1)
        FleetScenario.HEAVY_LOSS -> fleet.lossy(share = 0.33)
    }

    private fun SimulatedFleet<M>.harmless(duration: Duration): Fault {
        network.run(duration)
        return Fault(expected = emptySet(), recovered = runUntilAgreed(RECOVERY_LIMIT))
    }

    private fun SimulatedFleet<M>.ending(end: SimulatedFleet<M>.() -> Unit): Fault {
        val before = runningInfos()
        end()
        val gone = before.map { it.id }.toSet() - runningIds
        val recovered = runUntilAgreed(RECOVERY_LIMIT)
        network.run(DETECTION_TIME)
        val remaining = before.filter { it.id in runningIds }
        return Fault(expected = pairs(remaining.map { it.id }, gone), recovered = recovered)
    }

    private fun SimulatedFleet<M>.crashZone() {
        for (index in 0 until layout.routers step layout.zones) crash(index)
    }

    private fun SimulatedFleet<M>.listDown(): Fault {
        network.list.down = true
        network.run(5.minutes)
        val crashed = network.now
        return ending { crash(VICTIM) }.copy(since = crashed)
    }

    private fun SimulatedFleet<M>.leaving(): Fault {
        val victim = infoOf(VICTIM)
        network.leave(victim.address)
        network.run(10.seconds)
        depart(VICTIM)
        val fault = Fault(pairs(runningIds, setOf(victim.id)), recovered = null, since = network.now)
        network.run(DETECTION_TIME)
        return fault.copy(recovered = runUntilAgreed(RECOVERY_LIMIT))
    }

    private fun SimulatedFleet<M>.regionCut(): Fault {
        val (inside, outside) = runningInfos().partition { it.region == infoOf(VICTIM).region }
        val ids = inside.map { it.id }.toSet()
        val cuts = listOf(
            network.cut({ it.id in ids }, { it.id !in ids }),
            network.cut({ it.id !in ids }, { it.id in ids }),
        )
        network.run(2.minutes)
        cuts.forEach(network::heal)
        val others = outside.map { it.id }
        return Fault(pairs(ids, others) + pairs(others, ids), recovered = runUntilAgreed(RECOVERY_LIMIT))
    }

    private fun SimulatedFleet<M>.halfCut(receives: Boolean): Fault {
        val victim = infoOf(VICTIM).id
        val others = runningIds - victim
        val cut = if (receives) {
            network.cut({ it.id == victim }, { true })
        } else {
            network.cut({ true }, { it.id == victim })
        }
        network.run(1.minutes)
        network.heal(cut)
        val expected = pairs(others, setOf(victim))
        return Fault(expected, tolerated = pairs(setOf(victim), others), recovered = runUntilAgreed(RECOVERY_LIMIT))
    }

    private fun SimulatedFleet<M>.linkCut(): Fault {
        val zones = runningInfos().map { it.zone }.distinct()
        val cut = network.cut({ it.zone == zones.first() }, { it.zone == zones.last() })
        network.run(2.minutes)
        network.heal(cut)
        return Fault(expected = emptySet(), recovered = runUntilAgreed(RECOVERY_LIMIT))
    }

    private fun SimulatedFleet<M>.paused(times: Int, pause: Duration, between: Duration): Fault {
        val victim = infoOf(VICTIM)
        repeat(times) {
            network.freeze(victim.address)
            network.run(pause)
            network.thaw(victim.address)
            network.run(between)
        }
        val expected = pairs(runningIds - victim.id, setOf(victim.id))
        return Fault(expected, recovered = runUntilAgreed(RECOVERY_LIMIT))
    }

    private fun SimulatedFleet<M>.lossy(share: Double): Fault {
        val quality = network.quality
        network.quality = quality.copy(loss = share)
        network.run(1.minutes)
        network.quality = quality
        return Fault(expected = emptySet(), recovered = runUntilAgreed(RECOVERY_LIMIT))
    }

    private fun SimulatedFleet<M>.runningInfos(): List<RouterInfo> = network.running.map { it.self }

    private fun pairs(viewers: Iterable<RouterId>, routers: Iterable<RouterId>): Set<Pair<RouterId, RouterId>> =
        viewers.flatMapTo(mutableSetOf()) { viewer -> routers.map { viewer to it } }

    private fun measured(fleet: SimulatedFleet<M>, joined: Duration?, begin: Timestamp, fault: Fault): ScenarioResult {
        val losses = fleet.changes.filter { !it.gained }
        val since = fault.since ?: begin
        val allowed = fault.expected + fault.tolerated
        val times = losses
            .filter { (it.viewer to it.router) in fault.expected && it.at >= since }
            .groupBy { it.viewer to it.router }
            .map { (_, changes) -> changes.first().at - since }
            .sorted()
        val traffic = fleet.network.traffic
        val routerSeconds = fleet.layout.routers * ((fleet.network.now - begin) / 1.seconds)
        return ScenarioResult(
            joined = joined,
            first = times.firstOrNull(),
            median = times.getOrNull(times.size / 2),
            all = times.lastOrNull().takeIf { times.size == fault.expected.size },
            recovered = fault.recovered,
            falseRemovals = losses.count { (it.viewer to it.router) !in allowed },
            removals = losses.size,
            bytesPerSecond = traffic.bytes / routerSeconds,
            messagesPerSecond = traffic.messages / routerSeconds,
            greatestDatagram = traffic.greatest,
            listReadsPerMinute = traffic.listReads * SECONDS_PER_MINUTE / routerSeconds,
            microsecondsPerTick = traffic.nanoseconds / NANOSECONDS_PER_MICROSECOND / traffic.ticks,
            stateBytes = fleet.network.running.first().stateBytes(),
        )
    }

    private data class Fault(
        val expected: Set<Pair<RouterId, RouterId>>,
        val recovered: Duration?,
        val tolerated: Set<Pair<RouterId, RouterId>> = emptySet(),
        val since: Timestamp? = null,
    )

    private companion object {
        /** The VM that a scenario's fault strikes. */
        const val VICTIM = 1
        const val SECONDS_PER_MINUTE = 60
        const val NANOSECONDS_PER_MICROSECOND = 1_000.0
        val JOIN_LIMIT = 3.minutes
        val SETTLE_TIME = 30.seconds
        val DETECTION_TIME = 30.seconds
        val RECOVERY_LIMIT = 150.seconds + 500.milliseconds
    }
}
