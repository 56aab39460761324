package org.cicadaarch.testkit.simulation

import kotlin.random.Random
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import net.jqwik.api.Arbitraries
import net.jqwik.api.Arbitrary
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.Provide
import net.jqwik.api.state.Action
import net.jqwik.api.state.ActionChain
import net.jqwik.api.state.Transformer
import org.cicadaarch.model.Idempotency
import org.cicadaarch.model.IdempotencyKey
import org.cicadaarch.model.RouterId

/**
 * Random chains of requests and failures: whatever happens, callers are told the truth.
 */
class FleetOutcomeProperty {
    @Property(tries = 150, seed = "20261204")
    fun `Given any chain of failures, when all has ended, then each outcome told is true`(
        @ForAll("chains") chain: ActionChain<Run>,
    ) {
        val run = chain.run()
        run.settle()
        assertEquals(emptyList(), OutcomeChecker.violations(run.simulation, allEnded = true))
    }

    @Provide
    fun chains(): Arbitrary<ActionChain<Run>> = ActionChain.startWith { Run() }
        .withAction(8, action("request") { it.request() })
        .withAction(4, action("keyed request") { it.keyedRequest() })
        .withAction(1, action("store outage") { it.storeOutage() })
        .withAction(1, action("lose store answers") { it.loseStoreAnswers() })
        .withAction(1, action("crash a target") { it.crashTarget() })
        .withAction(1, action("kill a router") { it.killRouter() })
        .withAction(1, action("freeze a router") { it.freezeRouter() })
        .withAction(1, action("cut") { it.cut() })
        .withAction(1, action("silence connections") { it.silence() })
        .withAction(1, action("disagree") { it.disagree() })
        .withAction(1, action("leave") { it.targetLeaves() })
        .withMaxTransformations(120)

    private fun action(name: String, change: (Run) -> Unit): Action.Independent<Run> =
        object : Action.Independent<Run> {
            override fun transformer(): Arbitrary<Transformer<Run>> =
                Arbitraries.just(Transformer.mutate(name) { run -> run.perform(change) })
        }

    /** A simulation with the random choices of its actions, all from one seed. */
    class Run {
        private val random = Random(SEED)
        private var requests = 0
        val simulation = FleetSimulation(seed = SEED, routerCount = 5, fleet = SimulationFixtures.fleet())

        init {
            simulation.network.lossShare = 0.02
            simulation.network.duplicationShare = 0.02
        }

        fun perform(change: (Run) -> Unit) {
            change(this)
            simulation.clock.advance(random.nextInt(1, 120).milliseconds)
        }

        fun request() {
            val idempotency = if (requests % 3 == 0) Idempotency.Keyless else Idempotency.Idempotent
            simulation.arrive(router(), SimulationFixtures.head(requests++, idempotency))
        }

        /** Of ten keys each is used several times, so that callers resend through other routers. */
        fun keyedRequest() {
            val key = IdempotencyKey("booking-${random.nextInt(10)}")
            simulation.arrive(router(), SimulationFixtures.head(requests++, Idempotency.Keyed(key)))
        }

        fun storeOutage() {
            simulation.store.isUp = false
            simulation.clock.after(random.nextInt(100, 5_000).milliseconds) { simulation.store.isUp = true }
        }

        fun loseStoreAnswers() {
            simulation.store.lostAnswers = 0.5
            simulation.clock.after(2.seconds) { simulation.store.lostAnswers = 0.0 }
        }

        fun crashTarget() = simulation.targets.values.random(random).let { if (it.isUp) it.crash() }

        fun killRouter() {
            if (simulation.liveRouters.size > 2) simulation.kill(router(), noticedAfter = 2.seconds)
        }

        fun freezeRouter() = simulation.freeze(router(), random.nextInt(100, 4_000).milliseconds)

        fun cut() {
            simulation.network.cut(router(), router())
            simulation.clock.after(2.seconds) { simulation.network.heal() }
        }

        fun silence() = simulation.targets.values.random(random).silence()

        fun disagree() {
            val router = router()
            simulation.setView(router, simulation.liveRouters.filter { random.nextBoolean() }.toSet())
            simulation.clock.after(3.seconds) { if (router in simulation.liveRouters) simulation.updateView(router) }
        }

        fun targetLeaves() = simulation.changeFleet(spread = 2.seconds, random = random) { fleet ->
            val staying = fleet.targets.filterValues { !it.leaving }
            if (staying.size <= 3) return@changeFleet fleet
            val leaving = staying.keys.random(random)
            fleet.copy(targets = fleet.targets + (leaving to fleet.targets.getValue(leaving).copy(leaving = true)))
        }

        fun settle() {
            simulation.network.heal()
            simulation.clock.advance(120.seconds)
        }

        private fun router(): RouterId = simulation.liveRouters.random(random)
    }

    private companion object {
        const val SEED = 20_261_204L
    }
}
