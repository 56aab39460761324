package org.cicadaarch.dispatch.target

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import org.cicadaarch.dispatch.request.DispatchFixture
import org.cicadaarch.model.TargetId
import org.cicadaarch.model.Timestamp
import org.cicadaarch.model.ZoneName

class TargetSelectorTest {
    private val now = Timestamp(100_000)
    private val selector = TargetSelector(ZoneName("a"), imbalanceFactor = 2.0)

    /** Guards against a hot prompt that all routers send to one target, and move on to the next one together. */
    @Test
    fun `Given a prompt in demand, when requests are placed, then they spread over as many targets as it needs`() {
        data class Case(val demand: Double, val targets: IntRange)
        val cases = listOf(
            Case(demand = 0.0, targets = 1..1),
            Case(demand = 1.0, targets = 1..1),
            Case(demand = 4.0, targets = 2..5),
            Case(demand = 20.0, targets = 8..20),
            Case(demand = 1_000.0, targets = 30..30),
        )
        for (case in cases) {
            val selected = (1..400).map { select(targets(load = 3.0), case.demand, tieBreaker = it) }.toSet()
            assertTrue(selected.size in case.targets, "demand ${case.demand}: ${selected.size} targets")
        }
    }

    @Test
    fun `Given a rising demand, when requests are placed, then the targets in use before stay in use`() {
        val sets = listOf(1.0, 4.0, 12.0, 20.0).map { demand ->
            (1..400).map { select(targets(load = 3.0), demand, tieBreaker = it) }.toSet()
        }
        sets.zipWithNext { fewer, more -> assertTrue(more.containsAll(fewer), "$fewer, then $more") }
    }

    /** Guards against routers that leave a target at the same time and return to it together. */
    @Test
    fun `Given the first target near its bound, when requests are placed, then only a part of them leaves it`() {
        data class Case(val load: Double, val stays: IntRange)
        val first = select(targets(load = 3.0), demand = 0.0, tieBreaker = 1)
        val cases = listOf(
            Case(load = 4.0, stays = 400..400),
            Case(load = 6.0, stays = 100..300),
            Case(load = 9.0, stays = 0..0),
        )
        for (case in cases) {
            val targets = targets(load = 3.0).map { if (it.entry.id == first) known(it.entry, case.load) else it }
            val stays = (1..400).count { select(targets, demand = 0.0, tieBreaker = it) == first }
            assertTrue(stays in case.stays, "load ${case.load}: $stays of 400 stay")
        }
    }

    @Test
    fun `Given all homes of a prompt over the bound, when a request is placed, then another target gets it`() {
        val demand = 12.0
        val homes = (1..400).map { select(targets(load = 3.0), demand, tieBreaker = it) }.toSet()
        val targets = targets(load = 3.0).map { if (it.entry.id in homes) known(it.entry, load = 30.0) else it }
        val selected = (1..400).map { select(targets, demand, tieBreaker = it) }.toSet()
        assertEquals(emptySet(), selected intersect homes)
    }

    private fun select(targets: List<TargetState>, demand: Double, tieBreaker: Int): TargetId {
        val criteria = SelectionCriteria("prompt", excluded = emptySet(), tieBreaker, promptDemand = demand)
        return checkNotNull(selector.select(targets, criteria, now)).target.entry.id
    }

    private fun targets(load: Double): List<TargetState> = List(30) { known(entry(it), load) }

    private fun known(entry: TargetEntry, load: Double) =
        TargetState(entry).withFleetLoad(heavy = null, typical = load, observedAt = now)

    private fun entry(number: Int) = DispatchFixture.target("target-$number", slots = 64)
}
