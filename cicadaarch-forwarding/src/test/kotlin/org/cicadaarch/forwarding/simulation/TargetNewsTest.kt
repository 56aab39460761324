package org.cicadaarch.forwarding.simulation

import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource

/** Guards against requests to a target that left: news of it came late to a router, or was undone. */
class TargetNewsTest {
    @ParameterizedTest
    @ValueSource(ints = [8, 22, 45, 90])
    fun `Given a fleet with disturbed routers, when targets leave, then no router in contact uses one after the drain`(
        routers: Int,
    ) {
        for (disturbance in DISTURBANCES) {
            for (seed in SEEDS) {
                val simulation = TargetNewsSimulation(routers, seed)
                simulation.replaceTargets(start = 2.seconds, duration = 28.seconds, interval = 400.milliseconds)
                simulation.apply(disturbance.begin)
                assertEquals(emptySet(), simulation.run(36.seconds), "$disturbance, seed $seed")
            }
        }
    }

    private class Disturbance(private val name: String, val begin: TargetNewsSimulation.() -> Unit) {
        override fun toString(): String = name
    }

    private companion object {
        val SEEDS = 1L..4L
        val DISTURBANCES = listOf(
            Disturbance("none") {},
            Disturbance("the store rejects some routers") {
                disturb(start = 5.seconds, duration = 9.seconds, share = 0.35) { it.reject() }
            },
            Disturbance("some routers are cut off and their connections reset") {
                disturb(start = 10.seconds, duration = 8.seconds, share = 0.3) { it.cut(withReset = true) }
            },
            Disturbance("some routers are cut off silently") {
                disturb(start = 10.seconds, duration = 8.seconds, share = 0.3) { it.cut(withReset = false) }
            },
        )
    }
}
