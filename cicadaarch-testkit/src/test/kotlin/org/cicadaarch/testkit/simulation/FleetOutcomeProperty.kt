package org.cicadaarch.testkit.simulation

import kotlin.test.assertEquals
import net.jqwik.api.Arbitraries
import net.jqwik.api.Arbitrary
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.Provide
import net.jqwik.api.state.Action
import net.jqwik.api.state.ActionChain
import net.jqwik.api.state.Transformer

/**
 * Random chains of requests and failures: whatever happens, callers are told the truth.
 */
class FleetOutcomeProperty {
    @Property(tries = 100, seed = "20261204")
    fun `Given any chain of failures, when all has ended, then each outcome told is true`(
        @ForAll("chains") chain: ActionChain<FuzzRun>,
    ) {
        val run = chain.run()
        run.settle()
        assertEquals(emptyList(), OutcomeChecker.violations(run.simulation, allEnded = true))
    }

    @Provide
    fun chains(): Arbitrary<ActionChain<FuzzRun>> = FuzzAction.entries
        .fold(ActionChain.startWith { FuzzRun(SEED) }) { chain, action ->
            chain.withAction(action.weight, StepAction(action))
        }
        .withMaxTransformations(120)

    private class StepAction(private val action: FuzzAction) : Action.Independent<FuzzRun> {
        override fun transformer(): Arbitrary<Transformer<FuzzRun>> =
            Arbitraries.just(Transformer.mutate(action.name) { run -> run.perform(action) })
    }

    private companion object {
        const val SEED = 20_261_204L
    }
}
