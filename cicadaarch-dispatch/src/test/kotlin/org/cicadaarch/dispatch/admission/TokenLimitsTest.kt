package org.cicadaarch.dispatch.admission

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.cicadaarch.dispatch.request.DispatchFixture
import org.cicadaarch.dispatch.request.RequestWork
import org.cicadaarch.dispatch.routing.RetryPolicy
import org.cicadaarch.dispatch.routing.Route

class TokenLimitsTest {
    /** Guards against short requests that are late since their targets read long prompts first. */
    @Test
    fun `Given a burst of 2,6 times the long prompts, when short ones arrive, then they are as often in time`() {
        val (usual, burst) = listOf(1.0, 2.6).map { factor ->
            OverloadSimulation(targets = 6, slots = 8, kinds(factor), cacheTokens = 40_000)
                .run(end = 60.seconds, countFrom = BURST_START).outcomes
        }
        assertTrue(burst.getValue("short").inTimeShare >= usual.getValue("short").inTimeShare - 0.05)
    }

    /** Guards against a target that crashes since its requests exceed its memory. */
    @Test
    fun `Given targets with little memory, when requests keep coming, then none holds too many tokens`() {
        val limited = OverloadSimulation(targets = 3, slots = 8, kinds(2.6), cacheTokens = 9_000).run(20.seconds)
        assertTrue(limited.mostTokensHeld in 4_000..9_000, "${limited.mostTokensHeld}")
        assertTrue(limited.outcomes.getValue("long").sent > 0)
        val unlimited = OverloadSimulation(targets = 3, slots = 8, kinds(2.6)).run(20.seconds)
        assertTrue(unlimited.mostTokensHeld > 9_000, "${unlimited.mostTokensHeld}")
    }

    /** Guards against tokens that stay counted after their requests, and against refusals that this would lead to. */
    @Test
    fun `Given requests that ended, failed or were cancelled, when no one is open, then no tokens are counted`() {
        val simulation = OverloadSimulation(targets = 3, slots = 8, kinds(2.6), cacheTokens = 9_000)
        simulation.run(20.seconds)
        val state = simulation.state.requests.keys.fold(simulation.state) { state, id -> state.withoutRequest(id) }
        assertEquals(TokenLoads(), state.tokenLoads)
    }

    private fun kinds(factor: Double) = listOf(
        SimulatedKind(
            name = "short",
            account = "short",
            route = route("short"),
            perSecond = 100.0,
            runTime = 150.milliseconds,
            work = RequestWork(promptTokens = 200, outputTokens = 50),
        ),
        SimulatedKind(
            name = "long",
            account = "long",
            route = route("long").copy(latencyObjective = 1_600.milliseconds),
            perSecond = 2.0,
            runTime = 150.milliseconds,
            work = RequestWork(promptTokens = 4_000, outputTokens = 50),
            surge = SimulatedSurge(factor, BURST_START),
        ),
    )

    private fun route(name: String): Route = DispatchFixture.route(RetryPolicy.AT_MOST_ONCE, isStream = true)
        .copy(name = name, latencyObjective = 400.milliseconds, timeout = 10.seconds)

    private companion object {
        val BURST_START = 20.seconds
    }
}
