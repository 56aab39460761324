package org.cicadaarch.orders

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
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

class OrdersFuzzTest {
    @Property(tries = 250, seed = "20261204")
    fun `Given any faults, when presets are switched, then no engine follows an older holder and all reach the preset`(
        @ForAll("chains") chain: ActionChain<Any>,
    ) {
        val fleet = chain.run() as OrdersTestFleet
        fleet.checkRecovery()
    }

    @Provide
    fun chains(): Arbitrary<ActionChain<Any>> = ActionChain.startWith<Any> { OrdersTestFleet(seed = 1) }
        .withAction(RandomOrdersAction())
        .withMaxTransformations(80)

    private class RandomOrdersAction : Action.Independent<Any> {
        override fun transformer(): Arbitrary<Transformer<Any>> = Arbitraries
            .longs()
            .map { OrdersAction.random(Random(it)) }
            .map { action ->
                Transformer.mutate<Any>(action.name) { action.applyTo(it as OrdersTestFleet) }
            }
    }

    @Test
    fun `Given no injected bug, when fleets are fuzzed with many seeds, then all invariants hold`() {
        seeds().forEach { seed ->
            try {
                fuzz(seed, bug = null).checkRecovery()
            } catch (failure: AssertionError) {
                throw AssertionError("replay with -D$SEEDS=$seed..$seed: ${failure.message}", failure)
            }
        }
    }

    @Test
    fun `Given one load at a time, when the preset is switched, then engines load one after the other`() {
        val fleet = OrdersTestFleet(seed = 1)
        fleet.checkRecovery()
        fleet.switchPreset(1)
        fleet.checkRecovery()
        assertEquals(OrdersTestFleet.SETTINGS.maximumLoads, fleet.maximumLoadsSeen)
    }

    @ParameterizedTest
    @EnumSource(InjectedOrdersBug::class)
    internal fun `Given an injected bug, when fleets are fuzzed, then a check detects it`(bug: InjectedOrdersBug) {
        val seed = (1L..4_000L).firstOrNull { isDetected(it, bug) }
        println("injected bug $bug: detected with seed $seed")
        assertNotNull(seed, "$bug was not detected")
    }

    private fun isDetected(seed: Long, bug: InjectedOrdersBug): Boolean = try {
        fuzz(seed, bug)
        false
    } catch (_: AssertionError) {
        true
    }

    private fun fuzz(seed: Long, bug: InjectedOrdersBug?): OrdersTestFleet {
        val random = Random(seed)
        val fleet = OrdersTestFleet(seed, bug)
        repeat(80) { OrdersAction.random(random).applyTo(fleet) }
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
