package org.cicadaarch.ledger

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertNotNull
import net.jqwik.api.Arbitraries
import net.jqwik.api.Arbitrary
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.Provide
import net.jqwik.api.state.Action
import net.jqwik.api.state.ActionChain
import net.jqwik.api.state.Transformer
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.EnumSource

class LedgerFuzzTest {
    @Property(tries = 250, seed = "20261204")
    fun `Given any faults, when requests are sent and resent, then each key runs at most once per window`(
        @ForAll("chains") chain: ActionChain<Any>,
    ) {
        val fleet = chain.run() as LedgerTestFleet
        fleet.checkRecovery()
    }

    @Provide
    fun chains(): Arbitrary<ActionChain<Any>> = ActionChain.startWith<Any> { LedgerTestFleet(seed = 1) }
        .withAction(AnyFleetAction())
        .withMaxTransformations(80)

    private class AnyFleetAction : Action.Independent<Any> {
        override fun transformer(): Arbitrary<Transformer<Any>> = Arbitraries
            .longs()
            .map { FleetAction.random(Random(it)) }
            .map { action ->
                Transformer.mutate<Any>(action.name) { action.applyTo(it as LedgerTestFleet) }
            }
    }

    @Test
    fun `Given no injected bug, when random actions run on seeded fleets, then no guarantee is violated`() {
        seeds().forEach { seed ->
            try {
                runRandomActions(seed, bug = null).checkRecovery()
            } catch (failure: AssertionError) {
                throw AssertionError("replay with -D$SEEDS=$seed..$seed: ${failure.message}", failure)
            }
        }
    }

    @ParameterizedTest
    @EnumSource(InjectedBug::class)
    internal fun `Given an injected bug, when random actions run, then the oracle detects it`(bug: InjectedBug) {
        val seed = (1L..1_000L).firstOrNull { isDetected(it, bug) }
        println("injected bug $bug: detected with seed $seed")
        assertNotNull(seed, "$bug was not detected")
    }

    private fun isDetected(seed: Long, bug: InjectedBug): Boolean = try {
        runRandomActions(seed, bug)
        false
    } catch (_: AssertionError) {
        true
    }

    private fun runRandomActions(seed: Long, bug: InjectedBug?): LedgerTestFleet {
        val random = Random(seed)
        val fleet = LedgerTestFleet(seed, bug)
        repeat(80) { FleetAction.random(random).applyTo(fleet) }
        return fleet
    }

    private fun seeds(): LongRange {
        val (first, last) = System.getProperty(SEEDS, "1..300").split("..").map { it.toLong() }
        return first..last
    }

    private companion object {
        const val SEEDS = "cicadaarch.seeds"
    }
}
