package org.cicadaarch.dispatch.warmup

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.cicadaarch.dispatch.request.DispatchFixture
import org.cicadaarch.dispatch.target.TargetEntry
import org.cicadaarch.model.TargetId
import org.cicadaarch.model.Timestamp
import org.cicadaarch.model.ZoneName

/** Guards against targets that get more than they take while they warm up, from routers that know of no other. */
class WarmUpRateLimitTest {
    @Test
    fun `Given routers that know of no other, when a quarter of the targets is replaced, then the limit holds`() =
        forEachFleet { routers, isShort ->
            val fleet = fleet(routers)
            fleet.publish(List(TARGETS) { target(it) })
            fleet.run(3.seconds)
            val replaced = List(TARGETS / 4) { target(it, startedAtMillis = 2, warmUpRemaining = 10.seconds) }
            if (isShort) fleet.full = List(TARGETS) { target(it) }.ids() - replaced.ids()
            val replacedAt = fleet.now
            fleet.publish(replaced, spread = 300.milliseconds)
            fleet.run(300.milliseconds)
            val knownAt = fleet.now
            fleet.run(9_600.milliseconds)
            assertLimit(fleet, replaced, from = knownAt, case = "$routers routers, short of capacity: $isShort")
            val others = fleet.countSince(replacedAt) { it !in replaced.ids() }
            assertTrue(isShort || others >= LOAD * 9, "$routers routers: the others got $others")
        }

    @Test
    fun `Given an evacuated zone, when it returns cold, then the limit holds before its entries are known`() =
        forEachFleet { routers, isShort ->
            val fleet = fleet(routers)
            fleet.publish(List(TARGETS) { target(it) })
            fleet.evacuate(setOf(ZONE_B))
            fleet.run(3.seconds)
            val cold = List(TARGETS) { target(it, sequence = 2, warmUpRemaining = 10.seconds) }
                .filter { it.zone == ZONE_B }
            if (isShort) fleet.full = List(TARGETS) { target(it) }.ids() - cold.ids()
            val returnedAt = fleet.now
            fleet.evacuate(emptySet(), spread = 300.milliseconds)
            fleet.run(500.milliseconds)
            fleet.publish(cold, spread = 1.seconds)
            fleet.run(9_500.milliseconds)
            assertLimit(fleet, cold, from = returnedAt, case = "$routers routers, short of capacity: $isShort")
        }

    @Test
    fun `Given warming targets, when all routers start at once again and again, then the limit holds`() =
        forEachFleet { routers, isShort ->
            val fleet = fleet(routers)
            val warming = List(TARGETS / 2) { target(it, warmUpRemaining = 60.seconds) }
            val others = List(TARGETS / 2) { target(TARGETS / 2 + it) }
            if (isShort) fleet.full = others.ids()
            fleet.publish(warming + others)
            val startedAt = fleet.now
            repeat(5) {
                fleet.run(1_300.milliseconds)
                fleet.restartAll()
            }
            fleet.run(5.seconds)
            assertLimit(fleet, warming, from = startedAt, case = "$routers routers, short of capacity: $isShort")
        }

    @Test
    fun `Given only warming targets, when routers are under load, then the limit holds and all targets get requests`() {
        for (routers in FLEETS) {
            val fleet = fleet(routers)
            val warming = List(TARGETS) { target(it, warmUpRemaining = 60.seconds) }
            fleet.publish(warming)
            val startedAt = fleet.now
            fleet.run(59.seconds)
            assertLimit(fleet, warming, from = startedAt, case = "$routers routers")
            val used = fleet.sends.groupingBy { it.target }.eachCount()
            assertTrue(routers < LARGE_FLEET || used.size == TARGETS, "$routers routers: ${used.size} targets in use")
        }
    }

    @Test
    fun `Given a plain service of three targets, when all warm up at once, then the limit holds`() {
        for (routers in FLEETS) {
            for (seed in 1L..3L) {
                val fleet = WarmUpFleet(routers, requestsPerSecond = 300, hasPrompts = false, seed = seed)
                val warming = List(3) { target(it, warmUpRemaining = 60.seconds) }
                fleet.publish(warming)
                val startedAt = fleet.now
                fleet.run(59.seconds)
                assertLimit(fleet, warming, from = startedAt, case = "$routers routers, seed $seed")
                assertTrue(fleet.sends.isNotEmpty(), "$routers routers, seed $seed: nothing was sent")
            }
        }
    }

    @Test
    fun `Given targets in full use, when some become cold again, then the limit holds from when it is known`() =
        forEachFleet { routers, isShort ->
            val fleet = fleet(routers)
            fleet.publish(List(TARGETS) { target(it, warmUpRemaining = 1.seconds) })
            fleet.run(4.seconds)
            val cold = List(TARGETS / 4) { target(it, sequence = 2, warmUpRemaining = 8.seconds) }
            if (isShort) fleet.full = List(TARGETS) { target(it) }.ids() - cold.ids()
            fleet.publish(cold, spread = 300.milliseconds)
            fleet.run(300.milliseconds)
            val knownAt = fleet.now
            fleet.run(7_600.milliseconds)
            assertLimit(fleet, cold, from = knownAt, case = "$routers routers, short of capacity: $isShort")
        }

    @Test
    fun `Given targets with room, when others warm up, then the warming ones get nothing`() {
        for (routers in FLEETS) {
            for (hasPrompts in listOf(true, false)) {
                val fleet = WarmUpFleet(routers, requestsPerSecond = LOAD, hasPrompts = hasPrompts)
                val warming = List(TARGETS / 4) { target(it, warmUpRemaining = 10.seconds) }
                fleet.publish(warming + List(TARGETS - warming.size) { target(warming.size + it) })
                val startedAt = fleet.now
                fleet.run(9_900.milliseconds)
                assertEquals(0, fleet.countSince(startedAt) { it in warming.ids() }, "$routers routers")
                assertEquals(0, fleet.refused, "$routers routers")
            }
        }
    }

    @Test
    fun `Given a service without a limit, when its targets state a warm-up, then they are used as without it`() {
        val runs = listOf(Duration.ZERO, 10.seconds).map { warmUpRemaining ->
            val fleet = WarmUpFleet(routers = 8, requestsPerSecond = 400, hotShare = HOT_SHARE, limit = null)
            fleet.publish(List(TARGETS) { target(it, warmUpRemaining = warmUpRemaining) })
            fleet.run(5.seconds)
            fleet.sends.map { it.target to it.at }
        }
        assertEquals(runs.first(), runs.last())
    }

    private fun fleet(routers: Int) = WarmUpFleet(routers, requestsPerSecond = LOAD, hotShare = HOT_SHARE)

    private fun forEachFleet(check: (routers: Int, isShortOfCapacity: Boolean) -> Unit) {
        for (routers in FLEETS) {
            for (isShortOfCapacity in listOf(false, true)) check(routers, isShortOfCapacity)
        }
    }

    private fun assertLimit(fleet: WarmUpFleet, warming: List<TargetEntry>, from: Timestamp, case: String) {
        val peak = fleet.peak(warming.ids(), from)
        assertTrue(peak <= WarmUpFleet.ALLOWED_PER_SECOND, "$case: $peak requests in a second")
    }

    private fun List<TargetEntry>.ids(): Set<TargetId> = mapTo(HashSet()) { it.id }

    private fun target(
        number: Int,
        startedAtMillis: Long = 1,
        sequence: Long = 1,
        warmUpRemaining: Duration = Duration.ZERO,
    ) = DispatchFixture.target(
        id = "target-$number",
        slots = SLOTS,
        startedAtMillis = startedAtMillis,
        zone = if (number % 3 == 0) ZONE_B.value else "a",
        warmUpRemaining = warmUpRemaining,
    ).copy(sequence = sequence)

    private companion object {
        val FLEETS = listOf(8, 67, 126)
        val ZONE_B = ZoneName("b")
        const val LARGE_FLEET = 67
        const val TARGETS = 24
        const val SLOTS = 8

        /** Half of what all targets serve. */
        const val LOAD = TARGETS * SLOTS / 2
        const val HOT_SHARE = 0.15
    }
}
