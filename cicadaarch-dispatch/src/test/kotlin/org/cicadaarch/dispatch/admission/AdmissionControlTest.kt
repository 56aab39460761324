package org.cicadaarch.dispatch.admission

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.cicadaarch.dispatch.quarantine.RequestTrait
import org.cicadaarch.dispatch.request.AttemptResult
import org.cicadaarch.dispatch.request.DispatchEffect
import org.cicadaarch.dispatch.request.DispatchEvent
import org.cicadaarch.dispatch.request.DispatchFixture
import org.cicadaarch.dispatch.request.DispatchFixture.Companion.target
import org.cicadaarch.dispatch.request.DispatchRequest
import org.cicadaarch.dispatch.request.ExchangeId
import org.cicadaarch.dispatch.request.OpenRequest
import org.cicadaarch.dispatch.request.RequestFailure
import org.cicadaarch.dispatch.routing.RetryPolicy
import org.cicadaarch.model.Fingerprint
import org.cicadaarch.model.Timestamp

class AdmissionControlTest {
    private val route = DispatchFixture.route(RetryPolicy.AT_MOST_ONCE)
        .copy(latencyObjective = OBJECTIVE, timeout = 10.seconds)
    private val fixture = DispatchFixture(listOf(target("a"), target("b")))

    /** Guards against clients that wait in a full queue for a refusal that is certain from the start. */
    @Test
    fun `Given all targets full, when a request cannot be sent in time, then it is refused at once`() {
        learn()
        fill()
        val failures = (1..QUEUE).mapNotNull {
            receive(body = it.toLong())
            fixture.failures().singleOrNull()
        }
        val failure = assertIs<RequestFailure.NotRun>(failures.first())
        val estimate = assertNotNull(failure.estimate)
        assertEquals(CAPACITY, estimate.slotsInUse)
        assertTrue(estimate.wait > OBJECTIVE / 8)
        assertTrue(failure.retryAfter >= estimate.wait, "${failure.retryAfter} after ${estimate.wait}")
        val delays = failures.map { assertIs<RequestFailure.NotRun>(it).retryAfter }
        assertTrue(delays.distinct().size > delays.size / 2 && delays.last() > delays.first(), "$delays")
    }

    /** Guards against refusals that are decided by nothing, or by what was observed too long ago. */
    @Test
    fun `Given observations that are missing or stale, when a queue is long, then nothing is refused at once`() {
        data class Case(val name: String, val prepare: () -> Unit)
        val cases = listOf(
            Case("router just started") { fill() },
            Case("no response for some seconds") {
                learn()
                fill()
                fixture.advance(3.seconds)
            },
        )
        for (case in cases) {
            case.prepare()
            repeat(QUEUE) {
                fixture.receive(route)
                assertEquals(emptyList(), fixture.failures(), case.name)
            }
            fixture.advance(OBJECTIVE / 8)
            assertEquals(QUEUE, fixture.failures().size, case.name)
            endAll()
        }
    }

    /** Guards against refusals while a target could take the request. */
    @Test
    fun `Given a target with a free slot, when requests arrive, then none is refused`() {
        learn()
        repeat(CAPACITY) {
            fixture.receive(route)
            assertIs<DispatchEffect.Send>(fixture.effects.single())
        }
        endAll()
        fixture.receive(route)
        assertIs<DispatchEffect.Send>(fixture.effects.single())
    }

    /** Guards against urgent requests that are refused since others, which they go before, fill the queue. */
    @Test
    fun `Given a queue of less urgent requests, when an urgent one arrives, then it is queued`() {
        learn()
        fill()
        repeat(QUEUE) { receive(body = it + 100L, priority = 5) }
        assertEquals(1, fixture.failures().size)
        receive(body = 1, priority = 0)
        assertEquals(emptyList(), fixture.failures())
    }

    /** Guards against clients that are put behind all others each time they return. */
    @Test
    fun `Given a refused request, when it returns as told, then it counts from its first arrival once`() {
        val firstArrival = Timestamp(1_000)
        val state = AdmissionState().withFailure(open(firstArrival), NOT_RUN, Timestamp(1_000))
        assertEquals(firstArrival, state.queuedFrom(REQUEST, Timestamp(2_000)))
        val returned = state.withArrival(REQUEST, Timestamp(2_000))
        assertEquals(Timestamp(2_001), returned.queuedFrom(REQUEST, Timestamp(2_001)))
        assertEquals(Timestamp(20_000), state.queuedFrom(REQUEST, Timestamp(20_000)))
    }

    /** Guards against clients that gain by repeating a request before they are told to. */
    @Test
    fun `Given a refused request, when it is repeated at once, then nothing changes for it`() {
        val state = AdmissionState().withFailure(open(Timestamp(1_000)), NOT_RUN, Timestamp(1_000))
        assertEquals(Timestamp(1_500), state.queuedFrom(REQUEST, Timestamp(1_500)))
        val repeated = state.withArrival(REQUEST, Timestamp(1_500))
            .withFailure(open(Timestamp(1_500)), NOT_RUN, Timestamp(1_500))
        assertEquals(state, repeated)
    }

    /** Guards against repetitions that take a place in the queue of a full service, and against a new Retry-After. */
    @Test
    fun `Given all targets full, when a refused request is repeated at once, then it is refused until the same time`() {
        learn()
        fill()
        var body = 100L
        while (fixture.failures().isEmpty()) receive(body = ++body)
        val first = assertIs<RequestFailure.NotRun>(fixture.lastFailure).retryAfter
        fixture.advance(10.milliseconds)
        receive(body)
        val second = assertIs<RequestFailure.NotRun>(fixture.lastFailure)
        assertEquals("returned-too-early", second.reason)
        assertEquals(first.inWholeMilliseconds - 10, second.retryAfter.inWholeMilliseconds)
    }

    /** Guards against requests that are refused as too early after an evacuation or a quarantine has ended. */
    @Test
    fun `Given a request refused for another reason, when it is repeated, then it counts as new`() {
        val evacuated = RequestFailure.NotRun("evacuated", retryAfter = 1.seconds)
        val state = AdmissionState().withFailure(open(Timestamp(1_000)), evacuated, Timestamp(1_000))
        assertEquals(AdmissionState(), state)
    }

    /** Guards against a memory that grows with the refusals of a long overload. */
    @Test
    fun `Given many refusals, when one more is recorded, then the oldest is forgotten`() {
        var state = AdmissionState()
        repeat(2_000) {
            state = state.withFailure(open(Timestamp(1_000), REQUEST.withBody(it.toLong())), NOT_RUN, Timestamp(1_000))
        }
        assertNull(state.refused.of(REQUEST.withBody(0), Timestamp(1_000)))
        assertNotNull(state.refused.of(REQUEST.withBody(1_999), Timestamp(1_000)))
    }

    /** Guards against clients that get more by returning at once and often than by waiting as told. */
    @Test
    fun `Given an overload, when some clients return at once and others as told, then the former gain nothing`() {
        val kinds = listOf(SimulatedClient.PATIENT, SimulatedClient.IMMEDIATE).map { client ->
            SimulatedKind(
                name = client.name,
                account = client.name,
                route = route.copy(latencyObjective = 1_600.milliseconds),
                perSecond = 90.0,
                runTime = 200.milliseconds,
                client = client,
            )
        }
        val simulation = OverloadSimulation(targets = 4, slots = 6, kinds).run(OVERLOAD)
        val patient = simulation.outcomes.getValue("PATIENT")
        val immediate = simulation.outcomes.getValue("IMMEDIATE")
        assertTrue(immediate.inTimeShare <= patient.inTimeShare + 0.02)
        assertEquals(0, simulation.refusedWithFreeSlot)
        val served = (patient.inTime + immediate.inTime).toDouble()
        assertTrue(served / (OVERLOAD - 5.seconds).inWholeSeconds >= 120 * 0.9, "$served in time")
    }

    private fun learn() {
        repeat(20) {
            fixture.receive(route)
            val send = fixture.lastSend
            fixture.advance(RUN_TIME)
            fixture.endAttempt(send, AttemptResult.Answered(status = 200, isDelivered = true))
        }
    }

    private fun fill() = repeat(CAPACITY) { fixture.receive(route) }

    private fun endAll() {
        fixture.state.requests.keys.toList().forEach {
            fixture.submit(DispatchEvent.ClientDisconnected(it))
        }
    }

    private fun receive(body: Long, priority: Int = 0) {
        val request = REQUEST.withBody(body).copy(
            id = ExchangeId(nextId++),
            route = route.copy(name = "route-$priority"),
            priority = priority,
        )
        fixture.submit(DispatchEvent.RequestReceived(request))
    }

    private var nextId = 1_000L

    private fun DispatchFixture.failures(): List<RequestFailure> =
        effects.filterIsInstance<DispatchEffect.Fail>().map { it.failure }

    private fun open(arrivedAt: Timestamp, request: DispatchRequest = REQUEST) =
        OpenRequest(request, arrivedAt, OpenRequest.Phase.Queued(arrivedAt))

    private companion object {
        val OBJECTIVE: Duration = 1_600.milliseconds
        val OVERLOAD = 45.seconds
        val RUN_TIME = 200.milliseconds

        /** Slots of both targets, and as many requests that the targets queue. */
        const val CAPACITY = 16
        const val QUEUE = 60
        val NOT_RUN = RequestFailure.NotRun("no-free-target", retryAfter = 1.seconds, isForCapacity = true)
        val REQUEST = DispatchRequest(
            id = ExchangeId(1),
            route = DispatchFixture.route(RetryPolicy.AT_MOST_ONCE),
            service = DispatchFixture.SERVICE,
            priority = 0,
            timeAllowed = 10.seconds,
            promptKey = null,
        ).withBody(1)

        fun DispatchRequest.withBody(body: Long) = copy(traits = setOf(RequestTrait.wholeRequest(Fingerprint(body))))
    }
}
