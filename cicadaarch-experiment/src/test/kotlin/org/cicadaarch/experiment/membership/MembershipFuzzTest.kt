package org.cicadaarch.experiment.membership

import kotlin.test.assertEquals
import kotlin.test.assertNotEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import net.jqwik.api.Arbitraries
import net.jqwik.api.Arbitrary
import net.jqwik.api.EdgeCasesMode
import net.jqwik.api.Example
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.Provide
import net.jqwik.api.ShrinkingMode
import net.jqwik.api.state.Action
import net.jqwik.api.state.ActionChain
import net.jqwik.api.state.Transformer
import org.cicadaarch.membership.MembershipSettings

class MembershipFuzzTest {
    @Property(seed = "20261204", tries = 100, edgeCases = EdgeCasesMode.NONE, shrinking = ShrinkingMode.BOUNDED)
    fun `Given any chain of faults, when they end, then all views are right in time and no loss is unexplained`(
        @ForAll("chains") chain: ActionChain<FaultyFleet>,
    ) {
        val fleet = chain.run()
        assertTrue(fleet.agreesOnceFaultsEnd(), "the views differ from the running routers")
        assertEquals(emptyList(), fleet.unexplained)
    }

    @Example
    fun `Given no time to refute, when a tenth of the datagrams is lost, then the oracle shows false removals`() {
        val fleet = FaultyFleet(MembershipSettings(suspicionMultiplier = 0.0))
        fleet.lose(LOSS)
        fleet.run(120.seconds)
        assertNotEquals(emptyList(), fleet.unexplained)
    }

    @Example
    fun `Given suspicion without end, when a router crashes, then the oracle shows that the views differ`() {
        val fleet = FaultyFleet(MembershipSettings(suspicionMultiplier = 1e6))
        fleet.crash(1)
        assertEquals(false, fleet.agreesOnceFaultsEnd())
    }

    @Provide
    fun chains(): Arbitrary<ActionChain<FaultyFleet>> = ActionChain.startWith { FaultyFleet() }
        .withAction(6, action("run", 20) { run(it.seconds + 50.milliseconds) })
        .withAction(2, action("crash", VMS) { crash(it) })
        .withAction(3, action("restart", VMS) { restart(it) })
        .withAction(1, action("leave", VMS) { leave(it) })
        .withAction(2, action("freeze", VMS) { freeze(it) })
        .withAction(2, action("thaw", VMS) { thaw(it) })
        .withAction(2, action("cut zones", VMS) { cutZones(it, it / 2) })
        .withAction(1, action("cut receiving", VMS) { cutRouter(it, receives = false) })
        .withAction(1, action("cut sending", VMS) { cutRouter(it, receives = true) })
        .withAction(2, action("heal", 1) { healCuts() })
        .withAction(1, action("lose", 2) { lose(if (it == 0) 0.0 else LOSS) })
        .withAction(1, action("list down", 2) { listDown(it == 0) })
        .withAction(1, action("unlist", VMS) { unlist(it) })
        .withAction(1, action("list ghost", VMS) { listGhost(it) })
        .withMaxTransformations(20)

    private fun action(name: String, choices: Int, act: FaultyFleet.(Int) -> Unit): Action<FaultyFleet> =
        object : Action.Independent<FaultyFleet> {
            override fun transformer(): Arbitrary<Transformer<FaultyFleet>> =
                Arbitraries.integers().between(0, choices - 1).map { choice ->
                    Transformer.mutate("$name $choice") { fleet -> fleet.act(choice) }
                }
        }

    private companion object {
        val VMS = FaultyFleet.LAYOUT.routers

        /** The share of datagrams lost up to which no live router may be removed. */
        const val LOSS = 0.1
    }
}
