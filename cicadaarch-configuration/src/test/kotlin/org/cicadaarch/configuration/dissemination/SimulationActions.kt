package org.cicadaarch.configuration.dissemination

import kotlin.test.assertIs
import net.jqwik.api.Arbitraries
import net.jqwik.api.Arbitrary
import net.jqwik.api.state.Action
import net.jqwik.api.state.ActionChain
import net.jqwik.api.state.ActionChainArbitrary
import net.jqwik.api.state.Transformer
import org.cicadaarch.model.Revision
import org.cicadaarch.model.ZoneName
import org.cicadaarch.model.store.ExpectedState
import org.cicadaarch.model.store.StoreResult

/**
 * What operators and faults do to a simulated fleet, as chains of jqwik actions.
 */
object SimulationActions {
    private const val LAST_DOCUMENT = 100
    private val few = Arbitraries.integers().between(0, 99)

    fun chains(start: () -> SimulatedFleet): Arbitrary<ActionChain<SimulatedFleet>> = chain(start)
        .withAction(8, action("advance", Arbitraries.integers().between(50, 9_000)) { clock.advance(it.toLong()) })
        .withAction(5, action("apply", few) { apply(this, it) })
        .withAction(1, action("apply invalid", few) { write(this, SmallDocuments.INVALID) })
        .withAction(2, action("race", few) { race(this, it) })
        .withAction(1, action("repeat an unanswered write", few) { repeatUnanswered(this, it) })
        .withAction(2, action("freeze", few) { number -> pick(this, number)?.let(::freeze) })
        .withAction(2, action("thaw", few) { routers.values.firstOrNull { it.isFrozen }?.let(::thaw) })
        .withAction(1, action("restart", few) { number -> restart(this, number) })
        .withAction(1, action("cut zone", Arbitraries.integers().between(0, 3)) { cut(this, ZoneName("zone-$it")) })
        .withAction(1, action("heal", few) { cut(this, null) })
        .withAction(1, action("store down", few) { setStoreDown(this, true) })
        .withAction(1, action("store up", few) { setStoreDown(this, false) })
        .withAction(1, action("lose messages", Arbitraries.integers().between(0, 20)) { lossRate = it / 100.0 })
        .withAction(1, action("lose answers", Arbitraries.integers().between(0, 30)) { store.lostAnswers = it / 100.0 })
        .withAction(
            1,
            action("lose notices", Arbitraries.integers().between(0, 100)) {
                store.lostNotices = it / 100.0
            },
        )
        .withAction(1, action("compact", few) { repeat(it) { store.writeElsewhere() }.also { store.compact() } })
        .withMaxTransformations(60)

    /** Ends all faults; then a last document must come into force everywhere within the bound. */
    fun settle(fleet: SimulatedFleet) {
        fleet.routers.values.filter { it.isFrozen }.forEach(fleet::thaw)
        cut(fleet, null)
        setStoreDown(fleet, false)
        fleet.lossRate = 0.0
        fleet.store.lostAnswers = 0.0
        fleet.store.lostNotices = 0.0
        val last = assertIs<StoreResult.Written>(apply(fleet, LAST_DOCUMENT))
        fleet.clock.advance(6_000)
        fleet.oracle.assertInForce(fleet.routers.keys, Revision(last.revision))
    }

    fun apply(fleet: SimulatedFleet, number: Int): StoreResult = write(fleet, SmallDocuments.text(number))

    private fun write(fleet: SimulatedFleet, text: String, expected: ExpectedState = expectedNow(fleet)): StoreResult {
        val result = fleet.store.write(expected, text)
        if (result is StoreResult.Written) fleet.accepted(Revision(result.revision), text)
        return result
    }

    private fun race(fleet: SimulatedFleet, number: Int) {
        val expected = expectedNow(fleet)
        assertIs<StoreResult.Written>(write(fleet, SmallDocuments.text(number), expected))
        assertIs<StoreResult.Conflict>(write(fleet, SmallDocuments.text(number + 1), expected))
    }

    private fun repeatUnanswered(fleet: SimulatedFleet, number: Int) {
        val expected = expectedNow(fleet)
        write(fleet, SmallDocuments.text(number), expected)
        assertIs<StoreResult.Conflict>(write(fleet, SmallDocuments.text(number), expected))
    }

    private fun expectedNow(fleet: SimulatedFleet): ExpectedState =
        fleet.store.current?.let { ExpectedState.AtRevision(it.revision) } ?: ExpectedState.Absent

    // A third of the fleet may be frozen at once.
    private fun pick(fleet: SimulatedFleet, number: Int): SimulatedRouter? {
        val running = fleet.routers.values.filterNot { it.isFrozen }
        return if (running.size * 3 > fleet.routers.size * 2) running[number % running.size] else null
    }

    private fun restart(fleet: SimulatedFleet, number: Int) {
        fleet.stop(fleet.routers.keys.elementAt(number % fleet.routers.size))
        fleet.start()
    }

    private fun cut(fleet: SimulatedFleet, zone: ZoneName?) {
        fleet.disturb()
        fleet.cutZone = zone
    }

    private fun setStoreDown(fleet: SimulatedFleet, isDown: Boolean) {
        fleet.disturb()
        fleet.store.isDown = isDown
    }

    private fun chain(start: () -> SimulatedFleet): ActionChainArbitrary<SimulatedFleet> = ActionChain.startWith(start)

    private fun action(
        name: String,
        values: Arbitrary<Int>,
        act: SimulatedFleet.(Int) -> Unit,
    ): Action.Independent<SimulatedFleet> = Action.Independent {
        values.map { value -> Transformer.mutate("$name $value") { fleet -> fleet.act(value) } }
    }
}
