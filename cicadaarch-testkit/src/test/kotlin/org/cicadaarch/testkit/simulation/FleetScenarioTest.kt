package org.cicadaarch.testkit.simulation

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.cicadaarch.model.Outcome
import org.cicadaarch.testkit.simulation.SimulatedWorkload.head

class FleetScenarioTest {
    private val simulation = FleetSimulation(seed = 1, routerCount = 7, fleet = SimulatedWorkload.fleet())

    @Test
    fun `Given no failure, when requests come at all routers, then each completes with one run`() {
        repeat(70) { number ->
            simulation.arrive(simulation.liveRouters[number % 7], head(number))
            simulation.clock.advance(20.milliseconds)
        }
        simulation.clock.advance(10.seconds)
        assertEquals(70, simulation.requests.values.count { it.outcome == Outcome.COMPLETED })
        assertTrue(simulation.requests.keys.all { simulation.starts(it) == 1 })
    }

    @Test
    fun `Given a killed router, when other routers take requests, then none waits longer than its time allowed`() {
        val killed = simulation.liveRouters.first()
        simulation.kill(killed, noticedAfter = 3.seconds)
        repeat(60) { number ->
            simulation.arrive(simulation.liveRouters[number % 6], head(number))
            simulation.clock.advance(50.milliseconds)
        }
        simulation.clock.advance(10.seconds)
        assertEquals(60, simulation.requests.values.count { it.outcome == Outcome.COMPLETED })
    }

    @Test
    fun `Given a leaving target, when all routers know of it, then it gets no new work`() {
        val leaving = simulation.targets.keys.first()
        simulation.changeFleet(spread = 1.milliseconds, random = Random(1)) { fleet ->
            fleet.copy(targets = fleet.targets + (leaving to fleet.targets.getValue(leaving).copy(leaving = true)))
        }
        simulation.clock.advance(1.seconds)
        val before = simulation.targets.getValue(leaving).started.size
        repeat(60) { number ->
            simulation.arrive(simulation.liveRouters[number % 7], head(number))
            simulation.clock.advance(20.milliseconds)
        }
        simulation.clock.advance(10.seconds)
        assertEquals(before, simulation.targets.getValue(leaving).started.size)
    }
}
