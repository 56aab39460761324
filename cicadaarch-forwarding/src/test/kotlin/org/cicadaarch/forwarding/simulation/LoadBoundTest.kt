package org.cicadaarch.forwarding.simulation

import kotlin.test.Test
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource

/** Guards against targets that get more than their bound, since each router knows only its own requests and reports. */
class LoadBoundTest {
    @ParameterizedTest
    @ValueSource(ints = [8, 22, 45, 90])
    fun `Given a fleet under steady load, when requests are placed, then few reach a target over the load bound`(
        routers: Int,
    ) = assertFewOverBound(routers) {}

    @ParameterizedTest
    @ValueSource(ints = [8, 22, 45, 90])
    fun `Given a fleet under load, when empty targets join, then few requests reach a target over the load bound`(
        routers: Int,
    ) = assertFewOverBound(routers) { join(start = 6.seconds, count = 39) }

    @Test
    fun `Given a small fleet under load, when one prompt gets hot, then few requests reach a target over the bound`() =
        assertFewOverBound(routers = 8) { heatOnePrompt() }

    @ParameterizedTest
    @ValueSource(ints = [22, 45, 90])
    fun `Given a large fleet under load, when one prompt gets hot, then few requests reach a target over the bound`(
        routers: Int,
    ) = assertFewOverBound(routers) { heatOnePrompt() }

    private fun LoadSimulation.heatOnePrompt() = hotPrompt(start = 5.seconds, duration = 6.seconds, share = 0.05)

    private fun assertFewOverBound(routers: Int, setUp: LoadSimulation.() -> Unit) {
        for (seed in SEEDS) {
            val simulation = LoadSimulation(routers, targets = 98, requestsPerSecond = 740.0, seed)
            simulation.setUp()
            val window = simulation.run(16.seconds)
            val isAllowed = window.over < MIN_OVER || window.share <= MAX_SHARE
            assertTrue(isAllowed, "seed $seed: ${window.over} of ${window.requests} requests, ${window.share}")
            assertTrue(simulation.failures == 0, "seed $seed: ${simulation.failures} requests failed")
        }
    }

    private companion object {
        val SEEDS = 1L..2L

        /** The users' rule: in five seconds, not both this many requests and this share of them. */
        const val MIN_OVER = 20
        const val MAX_SHARE = 0.03
    }
}
