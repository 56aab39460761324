package org.cicadaarch.dispatch.admission

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.cicadaarch.dispatch.request.DispatchFixture
import org.cicadaarch.dispatch.request.DispatchRequest
import org.cicadaarch.dispatch.request.DispatchState
import org.cicadaarch.dispatch.request.ExchangeId
import org.cicadaarch.dispatch.request.OpenRequest
import org.cicadaarch.dispatch.request.RequestWork
import org.cicadaarch.dispatch.routing.RetryPolicy
import org.cicadaarch.dispatch.routing.Route
import org.cicadaarch.model.Timestamp

class QueueOrderTest {
    private val now = Timestamp(10_000)

    /** Guards against urgent requests, or those with little time left, that wait behind others. */
    @Test
    fun `Given queued requests, when a slot becomes free, then priority, objective, deadline decide`() {
        data class Case(val name: String, val first: OpenRequest, val second: OpenRequest)
        val cases = listOf(
            Case(
                "more urgent but later",
                open(priority = 0, age = 0.seconds, objective = 8.seconds),
                open(priority = 1, age = 1.seconds, objective = 2.seconds),
            ),
            Case(
                "less time left but arrived later",
                open(age = 0.seconds, objective = 1.seconds),
                open(age = 1.seconds, objective = 4.seconds),
            ),
            Case(
                "can be in time, the other only late",
                open(age = 0.seconds, objective = 4.seconds),
                open(age = 3.seconds, objective = 2.seconds),
            ),
            Case(
                "both late, the earlier deadline first",
                open(age = 3.seconds, objective = 2.seconds, timeAllowed = 5.seconds),
                open(age = 3.seconds, objective = 1.seconds, timeAllowed = 9.seconds),
            ),
        )
        for (case in cases) {
            val order = QueueOrder(DispatchState(), now).sorted(listOf(case.second, case.first))
            assertEquals(case.first, order.first(), case.name)
        }
    }

    /** Guards against one account that takes the slots of the others in an overload. */
    @Test
    fun `Given an account with seven times its usual load, when slots are short, then it alone is served less`() {
        for (surging in listOf("large-0", "small-3")) {
            val (usual, surge) = listOf(1.0, 7.0).map { factor ->
                val runs = SEEDS.map { seed ->
                    OverloadSimulation(targets = 4, slots = 6, accounts(surging, factor), seed)
                        .run(SURGE_END, countFrom = SURGE_START).outcomes
                }
                runs.first().keys.associateWith { name -> SimulatedOutcomes.sum(runs.map { it.getValue(name) }) }
            }
            for (other in usual.keys - surging) {
                val before = usual.getValue(other).inTimeShare
                val after = surge.getValue(other).inTimeShare
                assertTrue(after >= before - 0.02, "$surging surges: $other $before, then $after")
            }
        }
    }

    /** Guards against a kind, an account or large requests that get nothing while others are served. */
    @Test
    fun `Given twice the load that targets take, when kinds compete, then urgent ones lead and each keeps a share`() {
        val kinds = listOf(0, 1, 3).map { priority ->
            SimulatedKind(
                name = "priority-$priority",
                account = "account-$priority",
                route = route(objective = 1_600.milliseconds).copy(name = "route-$priority"),
                perSecond = 80.0,
                runTime = 200.milliseconds,
                priority = priority,
                work = RequestWork(promptTokens = 100, outputTokens = 10),
                largeWork = RequestWork(promptTokens = 400, outputTokens = 10),
            )
        }
        val outcomes = OverloadSimulation(targets = 4, slots = 6, kinds).run(90.seconds, 10.seconds).outcomes
        val shares = outcomes.values.map { it.inTimeShare }
        assertEquals(shares.sortedDescending(), shares)
        assertTrue(shares.min() >= shares.average() / 4, "$shares")
        outcomes.forEach { (name, it) -> assertTrue(it.largeSentShare >= it.sentShare / 2, name) }
    }

    private fun accounts(surging: String, factor: Double): List<SimulatedKind> {
        val names = List(3) { "large-$it" } + List(21) { "small-$it" }
        return names.map { name ->
            val usual = if (name.startsWith("large")) 20.0 else 2.0
            SimulatedKind(
                name = name,
                account = name,
                route = route(objective = 1_600.milliseconds),
                perSecond = usual,
                runTime = 200.milliseconds,
                surge = if (name == surging) SimulatedSurge(factor, SURGE_START) else null,
            )
        }
    }

    private fun open(
        priority: Int = 0,
        age: Duration,
        objective: Duration,
        timeAllowed: Duration = 20.seconds,
    ): OpenRequest {
        val arrivedAt = now - age
        val request = DispatchRequest(
            id = ExchangeId(1),
            route = route(objective),
            service = DispatchFixture.SERVICE,
            priority = priority,
            timeAllowed = timeAllowed,
            promptKey = null,
        )
        return OpenRequest(request, arrivedAt, OpenRequest.Phase.Queued(arrivedAt))
    }

    private fun route(objective: Duration): Route = DispatchFixture.route(RetryPolicy.AT_MOST_ONCE)
        .copy(latencyObjective = objective, timeout = 20.seconds)

    private companion object {
        val SEEDS = 1..3
        val SURGE_START = 60.seconds
        val SURGE_END = 180.seconds
    }
}
