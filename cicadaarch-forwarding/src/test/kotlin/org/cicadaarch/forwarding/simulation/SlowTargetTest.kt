package org.cicadaarch.forwarding.simulation

import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource

/** Guards against requests that wait at a slow target, which each router by itself notices too late. */
class SlowTargetTest {
    @ParameterizedTest
    @ValueSource(ints = [8, 22, 45, 67, 95, 126])
    fun `Given a fleet, when one target turns slow, then it soon gets less and its share back once it recovers`(
        routers: Int,
    ) {
        val simulation = PlainServiceSimulation(routers, TARGETS, requestsPerSecond = 105.0, seed = 1)
        simulation.slowDown(SLOW, factor = 7.5, start = 10.seconds, duration = 8.seconds)
        simulation.runUntil(30.seconds)
        val whileSlow = simulation.share(SLOW, start = 12.seconds, end = 18.seconds)
        val recovered = simulation.share(SLOW, start = 23.seconds, end = 30.seconds)
        assertTrue(whileSlow < FAIR_SHARE / 3, "its share is $whileSlow two seconds after it turned slow")
        assertTrue(recovered > FAIR_SHARE * 2 / 3, "its share is $recovered five seconds after it recovered")
        assertTrue(simulation.failures == 0, "${simulation.failures} requests failed")
    }

    private companion object {
        const val TARGETS = 6
        const val SLOW = 2
        const val FAIR_SHARE = 1.0 / TARGETS
    }
}
