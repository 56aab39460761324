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
    fun `Given any faults, when presets are switched, then no engine obeys an older holder and all reach the preset`(
        @ForAll("chains") chain: ActionChain<Any>,
    ) {
        val fleet = chain.run() as OrdersFleet
        fleet.checkRecovery()
    }

    @Provide
    fun chains(): Arbitrary<ActionChain<Any>> = ActionChain.startWith<Any> { OrdersFleet(seed = 1) }
        .withAction(AnyOrdersAction())
        .withMaxTransformations(80)

    private class AnyOrdersAction : Action.Independent<Any> {
        override fun transformer(): Arbitrary<Transformer<Any>> = Arbitraries
            .longs()
            .map { OrdersAction.random(Random(it)) }
            .map { action ->
                Transformer.mutate<Any>(action.name) { action.applyTo(it as OrdersFleet) }
            }
    }

    @Test
    fun `Given seeded fleets without a seeded fault, when they are fuzzed, then the oracle is content`() {
        seeds().forEach { seed ->
            try {
                fuzzed(seed, fault = null).checkRecovery()
            } catch (failure: AssertionError) {
                throw AssertionError("replay with -D$SEEDS=$seed..$seed: ${failure.message}", failure)
            }
        }
    }

    @Test
    fun `Given one load at a time, when the preset is switched, then engines load one after the other`() {
        val fleet = OrdersFleet(seed = 1)
        fleet.checkRecovery()
        fleet.switchPreset(1)
        fleet.checkRecovery()
        assertEquals(OrdersFleet.SETTINGS.maximumLoads, fleet.mostLoads)
    }

    @ParameterizedTest
    @EnumSource(SeededFault::class)
    internal fun `Given a seeded fault, when fleets are fuzzed, then the oracle catches it`(fault: SeededFault) {
        val seed = (1L..4_000L).firstOrNull { isCaught(it, fault) }
        println("seeded fault $fault: caught with seed $seed")
        assertNotNull(seed, "$fault was not caught")
    }

    private fun isCaught(seed: Long, fault: SeededFault): Boolean = try {
        fuzzed(seed, fault)
        false
    } catch (_: AssertionError) {
        true
    }

    private fun fuzzed(seed: Long, fault: SeededFault?): OrdersFleet {
        val random = Random(seed)
        val fleet = OrdersFleet(seed, fault)
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
