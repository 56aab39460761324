package org.cicadaarch.testkit.simulation

import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.cicadaarch.model.Idempotency
import org.cicadaarch.model.IdempotencyKey
import org.cicadaarch.model.RouterId

/**
 * A simulated fleet and random steps on it, all chosen by [seed], so that a run can be repeated.
 */
class FuzzRun(seed: Long, faults: Set<SeededFault> = emptySet()) {
    private val random = Random(seed)
    private var requests = 0

    /** The fleet that the steps act on. */
    val simulation: FleetSimulation = FleetSimulation(
        seed = seed,
        routerCount = ROUTERS,
        fleet = SimulatedWorkload.fleet(),
        crashing = setOf(SimulatedWorkload.CRASHING),
        faults = faults,
    )

    init {
        simulation.network.lossShare = LOSS_SHARE
        simulation.network.duplicationShare = DUPLICATION_SHARE
    }

    /** Takes one step and lets a little time pass. */
    fun perform(action: FuzzAction) {
        action.change(this)
        simulation.clock.advance(random.nextInt(1, 120).milliseconds)
    }

    /** Takes [steps] steps, chosen by the seed. */
    fun performRandomly(steps: Int) {
        val choices = FuzzAction.entries.flatMap { action -> List(action.weight) { action } }
        repeat(steps) { perform(choices.random(random)) }
    }

    internal fun request() {
        val idempotency = if (requests % 3 == 0) Idempotency.Keyless else Idempotency.Idempotent
        simulation.arrive(router(), SimulatedWorkload.head(requests++, idempotency))
    }

    /** Of ten keys each is used several times, so that callers resend through other routers. */
    internal fun keyedRequest() {
        val key = IdempotencyKey("booking-${random.nextInt(10)}")
        simulation.arrive(router(), SimulatedWorkload.head(requests++, Idempotency.Keyed(key)))
    }

    internal fun storeOutage() {
        simulation.store.isUp = false
        simulation.clock.after(random.nextInt(100, 5_000).milliseconds) { simulation.store.isUp = true }
    }

    internal fun loseStoreAnswers() {
        simulation.store.lostAnswers = 0.5
        simulation.clock.after(2.seconds) { simulation.store.lostAnswers = 0.0 }
    }

    internal fun crashingRequest() {
        simulation.arrive(router(), SimulatedWorkload.head(requests++, fingerprint = SimulatedWorkload.CRASHING))
    }

    internal fun crashTarget() = simulation.targets.values.random(random).let { if (it.isUp) it.crash() }

    internal fun killRouter() {
        if (simulation.liveRouters.size > 2) simulation.kill(router(), noticedAfter = 2.seconds)
    }

    internal fun freezeRouter() = simulation.freeze(router(), random.nextInt(100, 4_000).milliseconds)

    internal fun cut() {
        simulation.network.cut(router(), router())
        simulation.clock.after(2.seconds) { simulation.network.heal() }
    }

    internal fun silence() = simulation.targets.values.random(random).silence()

    internal fun disagree() {
        val router = router()
        simulation.setView(router, simulation.liveRouters.filter { random.nextBoolean() }.toSet())
        simulation.clock.after(3.seconds) { if (router in simulation.liveRouters) simulation.updateView(router) }
    }

    internal fun targetLeaves() = simulation.changeFleet(spread = 2.seconds, random = random) { fleet ->
        val staying = fleet.targets.filterValues { !it.leaving }
        if (staying.size <= 3) return@changeFleet fleet
        val leaving = staying.keys.random(random)
        fleet.copy(targets = fleet.targets + (leaving to fleet.targets.getValue(leaving).copy(leaving = true)))
    }

    /** Ends all cuts and waits until every request must have ended. */
    fun settle() {
        simulation.network.heal()
        simulation.clock.advance(120.seconds)
    }

    private fun router(): RouterId = simulation.liveRouters.random(random)

    private companion object {
        const val ROUTERS = 5
        const val LOSS_SHARE = 0.02
        const val DUPLICATION_SHARE = 0.02
    }
}
