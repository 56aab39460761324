package org.cicadaarch.experiment.membership

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds
import org.cicadaarch.membership.MembershipEffect
import org.cicadaarch.membership.MembershipSettings
import org.cicadaarch.model.Timestamp
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource

class MembershipScenarioTest {
    private val layout = FleetLayout(routers = 12, zones = 4, regions = 2)

    @ParameterizedTest(name = "{0}")
    @CsvSource(
        "STEADY,       0,  0",
        "CRASH,        8,  8",
        "LIST_DOWN,    8,  8",
        "RESTART,      3,  5",
        "LEAVE,        3,  0",
        "ZONE_LOST,    10, 10",
        "REGION_CUT,   20, 25",
        "RECEIVE_CUT,  8,  25",
        "SEND_CUT,     8,  25",
        "LINK_CUT,     0,  0",
        "PAUSE,        8,  25",
        "FLAPPING,     8,  90",
        "LOSS,         0,  0",
    )
    fun `Given a scenario, when it is over, then all views followed in time and no live router was removed`(
        scenario: FleetScenario,
        mostSecondsToRemove: Int,
        mostSecondsToRecover: Int,
    ) {
        for (seed in 1L..3L) {
            val result = ScenarioRunner { probingFleet(layout, seed) }.run(scenario)
            assertEquals(0, result.falseRemovals, "false removals with seed $seed")
            assertTrue(mostSecondsToRemove == 0 || assertNotNull(result.all) <= mostSecondsToRemove.seconds)
            assertTrue(assertNotNull(result.recovered) <= mostSecondsToRecover.seconds, "${result.recovered}")
            assertTrue(result.greatestDatagram <= MembershipSettings().packetLimit)
        }
    }

    @Test
    fun `Given a router that flaps, when it is paused again and again, then each view takes it back only once`() {
        val fleet = startedFleet()
        val flapping = fleet.infoOf(1)
        repeat(5) {
            fleet.network.freeze(flapping.address)
            fleet.network.run(9.seconds)
            fleet.network.thaw(flapping.address)
            fleet.network.run(3.seconds)
        }
        assertNotNull(fleet.runUntilAgreed(limit = 100.seconds))
        val gains = fleet.changes.filter { it.gained && it.router == flapping.id && it.at > Timestamp(0) + START }
        assertEquals(setOf(1), gains.groupingBy { it.viewer }.eachCount().values.toSet())
    }

    @Test
    fun `Given lists that differ for half a minute, when VMs come and go, then the views follow the routers`() {
        val fleet = startedFleet()
        fleet.network.list.lagOf = { (it.hashCode().mod(30)).seconds }
        fleet.crash(3)
        fleet.unlistVm(3)
        fleet.unlistVm(4)
        assertNotNull(fleet.runUntilAgreed(limit = 10.seconds))
        fleet.start(3)
        fleet.listVm(3)
        assertNotNull(fleet.runUntilAgreed(limit = 25.seconds))
    }

    @Test
    fun `Given a paused process, when it goes on, then it has suspected and removed nobody`() {
        val notices = mutableListOf<MembershipEffect>()
        val fleet = probingFleet(layout, notice = { notices += it })
        fleet.startAll()
        fleet.network.run(START)
        notices.clear()
        val paused = fleet.infoOf(1)
        fleet.network.freeze(paused.address)
        fleet.network.run(30.seconds)
        fleet.network.thaw(paused.address)
        fleet.network.run(30.seconds)
        assertEquals(emptyList(), fleet.changes.filter { !it.gained && it.viewer == paused.id })
        assertEquals(1, notices.count { it is MembershipEffect.PauseNoticed })
        val suspected = notices.filterIsInstance<MembershipEffect.MemberSuspected>().map { it.router }.toSet()
        assertEquals(setOf(paused.id), suspected)
    }

    private fun startedFleet() = probingFleet(layout).also {
        it.startAll()
        it.network.run(START)
    }

    private companion object {
        val START = 20.seconds
    }
}
