package org.cicadaarch.forwarding.simulation

import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource

/** Guards against targets with few slots that get more than their bound, as each router sees little of their load. */
class PlainLoadBoundTest {
    @ParameterizedTest
    @ValueSource(ints = [8, 22, 45, 95])
    fun `Given targets with few slots, when requests come steadily or in a burst, then few reach one over its bound`(
        routers: Int,
    ) {
        for (rate in REQUESTS_PER_SECOND) {
            val simulation = PlainServiceSimulation(routers, targets = 6, requestsPerSecond = rate, seed = 1)
            simulation.runUntil(30.seconds)
            val window = simulation.worstWindow()
            val isAllowed = window.over < MIN_OVER || window.share <= MAX_SHARE
            assertTrue(isAllowed, "$rate a second: ${window.over} of ${window.requests} requests, ${window.share}")
        }
    }

    private companion object {
        /** The usual rate, and a burst. */
        val REQUESTS_PER_SECOND = listOf(150.0, 260.0)

        /** The users' rule: in five seconds, not both this many requests and this share of them. */
        const val MIN_OVER = 20
        const val MAX_SHARE = 0.03
    }
}
