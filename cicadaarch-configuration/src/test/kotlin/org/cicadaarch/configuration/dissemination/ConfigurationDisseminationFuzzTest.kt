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
    fun `Given operators and faults in any order, when the fleet runs, then no router reverts or lags`(
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
                regions =
                    1 + (seed % 2).toInt(),
            )
        }
    }

    @Test
    fun `Given a mechanism that is off, when the chains run, then the oracle tells what breaks`() {
        val reducer = ConfigurationReducer()
        mapOf<Reduce, String>(
            FaultyReducers.withoutRevisionCheck(reducer) to "reverts from",
            FaultyReducers.withMixedRevisions(reducer) to "another document than was accepted",
            FaultyReducers.withoutSpread(reducer) to "not in force in time",
        ).forEach { (faulty, complaint) -> assertCaught(faulty, complaint) }
    }

    private fun assertCaught(faulty: Reduce, complaint: String) {
        val failures = SimulationActions.chains { SimulatedFleet(size = 12, seed = 7, reduce = faulty) }
            .generator(GENERATED_SIZE)
            .let { generator -> List(CHAINS) { generator.next(Random(it.toLong())).value() } }
            .mapNotNull { chain -> runCatching { SimulationActions.settle(chain.run()) }.exceptionOrNull() }
        assertTrue(failures.any { complaint in it.message.orEmpty() }, "$complaint was never seen")
    }

    private companion object {
        const val GENERATED_SIZE = 1_000
        const val CHAINS = 30
    }
}
