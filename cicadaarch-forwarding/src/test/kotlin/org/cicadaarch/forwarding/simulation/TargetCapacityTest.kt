package org.cicadaarch.forwarding.simulation

import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.cicadaarch.model.TargetId
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource

/** Guards against limits on targets that are wrong, last too long or make targets take turns. */
class TargetCapacityTest {
    @ParameterizedTest
    @ValueSource(ints = [8, 22, 45, 67, 95, 126])
    fun `Given requests that run once, when a target is slow for some time, then it gets little and its share again`(
        routers: Int,
    ) {
        val simulation = simulation(routers, unsafeShare = 1.0)
        simulation.slowDown(TARGET, factor = 7.5, start = START, duration = 15.seconds)
        simulation.runUntil(40.seconds)
        val whileSlow = simulation.share(TARGET, START + 2.seconds, START + 15.seconds)
        assertTrue(whileSlow < FAIR_SHARE / 3, "its share is $whileSlow")
        assertKeepsShare(simulation, TARGET, start = START + 20.seconds)
    }

    @ParameterizedTest
    @ValueSource(ints = [8, 22, 45, 67, 95, 126])
    fun `Given a slow target, when it gets little, then no other one does, before or after its recovery`(routers: Int) {
        val simulation = simulation(routers)
        simulation.slowDown(TARGET, factor = 7.5, start = START, duration = 8.seconds)
        simulation.runUntil(30.seconds)
        for (other in (0 until TARGETS) - TARGET) {
            for (second in 10..28) {
                val share = simulation.share(other, second.seconds, second.seconds + 2.seconds)
                assertTrue(share > FAIR_SHARE / 3, "the share of $other is $share at $second s")
            }
        }
    }

    @ParameterizedTest
    @ValueSource(ints = [8, 22, 45, 67, 95, 126])
    fun `Given a service, when all targets turn slow, then none is excluded`(routers: Int) {
        val simulation = simulation(routers, requestsPerSecond = 40.0)
        repeat(TARGETS) { simulation.slowDown(it, factor = 7.5, start = START, duration = 8.seconds) }
        simulation.runUntil(18.seconds)
        for (target in 0 until TARGETS) {
            val share = simulation.share(target, START, START + 8.seconds)
            assertTrue(share > FAIR_SHARE / 3, "the share of $target is $share")
        }
        assertTrue(simulation.failures == 0, "${simulation.failures} requests failed")
    }

    @ParameterizedTest
    @ValueSource(ints = [8, 22, 45, 67, 95, 126])
    fun `Given a target, when it is 2,5 times slower for half a second, then it keeps its share`(routers: Int) {
        val simulation = simulation(routers)
        simulation.slowDown(TARGET, factor = 2.5, start = START, duration = 500.milliseconds)
        simulation.runUntil(16.seconds)
        assertKeepsShare(simulation, TARGET, start = START + 1.seconds)
    }

    @ParameterizedTest
    @ValueSource(ints = [8, 22, 45, 67, 95, 126])
    fun `Given a target that is slow from a third of its slots on, when load comes, then it gets what it handles`(
        routers: Int,
    ) {
        val rate = 150.0
        val simulation = simulation(routers, requestsPerSecond = rate)
        simulation.slowDownAbove(TARGET, running = SLOTS / 3, factor = 7.5, start = START)
        simulation.runUntil(40.seconds)
        val share = simulation.share(TARGET, START + 2.seconds, 40.seconds)
        val handled = SLOTS / 3 / WORK_SECONDS
        assertTrue(share * rate <= handled, "it gets ${share * rate} a second and handles $handled")
    }

    @ParameterizedTest
    @ValueSource(ints = [8, 22, 45, 67, 95, 126])
    fun `Given a router that reports nonsense of a target, when requests come, then the target keeps its share`(
        routers: Int,
    ) {
        val honest = simulation(routers)
        honest.runUntil(20.seconds)
        val lying = simulation(routers, liesAbout = TargetId("target-$TARGET"))
        lying.runUntil(20.seconds)
        val usual = honest.share(TARGET, START, 20.seconds)
        val share = lying.share(TARGET, START, 20.seconds)
        assertTrue(share > usual * 2 / 3, "its share is $share in place of $usual")
    }

    private fun assertKeepsShare(simulation: PlainServiceSimulation, target: Int, start: Duration) {
        val before = simulation.share(target, 3.seconds, START)
        val after = simulation.share(target, start, 40.seconds)
        assertTrue(after > before * 2 / 3, "its share is $after, and was $before")
    }

    private fun simulation(
        routers: Int,
        requestsPerSecond: Double = 105.0,
        unsafeShare: Double = 0.7,
        liesAbout: TargetId? = null,
    ) = PlainServiceSimulation(routers, TARGETS, requestsPerSecond, seed = 1, unsafeShare, liesAbout)

    private companion object {
        const val TARGETS = 6
        const val TARGET = 2
        const val SLOTS = 6
        const val WORK_SECONDS = 0.08
        const val FAIR_SHARE = 1.0 / TARGETS
        val START = 10.seconds
    }
}
