package org.cicadaarch.testkit.simulation

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.EnumSource

class SeededFaultTest {
    @ParameterizedTest
    @EnumSource
    fun `Given a mechanism that is off, when runs are random, then the checker finds a false outcome`(
        fault: SeededFault,
    ) {
        val seed = (1L..MOST_SEEDS).firstOrNull { violations(it, setOf(fault)).isNotEmpty() }
        assertNotNull(seed, "no violation with $fault in seeds 1 to $MOST_SEEDS")
        println("seeded fault $fault: caught with seed $seed")
    }

    @Test
    fun `Given all mechanisms, when runs are random, then every outcome is true`() {
        assertEquals(emptyList(), (1L..CLEAN_SEEDS).flatMap { violations(it, emptySet()) })
    }

    private fun violations(seed: Long, faults: Set<SeededFault>): List<String> {
        val run = FuzzRun(seed, faults)
        run.performRandomly(STEPS)
        run.settle()
        return OutcomeChecker.violations(run.simulation, allEnded = true).map { "seed $seed: $it" }
    }

    private companion object {
        const val MOST_SEEDS = 80L
        const val CLEAN_SEEDS = 20L
        const val STEPS = 150
    }
}
