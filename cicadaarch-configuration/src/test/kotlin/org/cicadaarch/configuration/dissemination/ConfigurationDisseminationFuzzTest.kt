package org.cicadaarch.configuration.dissemination

import java.util.Random
import kotlin.test.Test
import kotlin.test.assertTrue
import net.jqwik.api.Arbitraries
import net.jqwik.api.Arbitrary
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.Provide
import net.jqwik.api.state.ActionChain

class ConfigurationDisseminationFuzzTest {
    @Property(tries = 300, seed = "20261204")
    fun `Given updates and faults in any order, when the fleet runs, then no router reverts or misses a deadline`(
        @ForAll("chains") chain: ActionChain<SimulatedFleet>,
    ) {
        SimulationActions.settle(chain.run())
    }

    @Provide
    fun chains(): Arbitrary<ActionChain<SimulatedFleet>> = Arbitraries.longs().between(0, 999).flatMap { seed ->
        SimulationActions.chains {
            SimulatedFleet(
                size = 7 + (seed % 8).toInt(),
                seed = seed,
                regions = 1 + (seed % 2).toInt(),
            )
        }
    }

    @Test
    fun `Given a reducer without one mechanism, when the chains run, then the oracle reports the violation`() {
        val reducer = ConfigurationReducer()
        mapOf<Reduce, String>(
            FaultyReducers.withoutRevisionCheck(reducer) to "went back from",
            FaultyReducers.withMixedRevisions(reducer) to "instead of the accepted one",
            FaultyReducers.withoutDissemination(reducer) to "not installed in time",
        ).forEach { (faulty, violation) -> assertDetected(faulty, violation) }
    }

    private fun assertDetected(faulty: Reduce, violation: String) {
        val failures = SimulationActions.chains { SimulatedFleet(size = 12, seed = 7, reduce = faulty) }
            .generator(GENERATED_SIZE)
            .let { generator -> List(CHAINS) { generator.next(Random(it.toLong())).value() } }
            .mapNotNull { chain -> runCatching { SimulationActions.settle(chain.run()) }.exceptionOrNull() }
        assertTrue(failures.any { violation in it.message.orEmpty() }, "no chain failed with \"$violation\"")
    }

    private companion object {
        const val GENERATED_SIZE = 1_000
        const val CHAINS = 30
    }
}
