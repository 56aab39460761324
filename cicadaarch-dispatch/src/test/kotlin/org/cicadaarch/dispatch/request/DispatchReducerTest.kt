package org.cicadaarch.dispatch.request

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNotEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.cicadaarch.dispatch.request.DispatchFixture.Companion.route
import org.cicadaarch.dispatch.request.DispatchFixture.Companion.target
import org.cicadaarch.dispatch.routing.RetryPolicy
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.EnumSource

class DispatchReducerTest {
    private val broken = AttemptResult.Broken("reset")
    private val notStarted = AttemptResult.NotStarted("full", reachedTarget = true, isTargetAtFault = false)
    private val unreachable = AttemptResult.NotStarted("connect", reachedTarget = false, isTargetAtFault = true)

    @ParameterizedTest
    @EnumSource(RetryPolicy::class)
    fun `Given an attempt that may have run, when it breaks, then it is retried unless the policy is at most once`(
        retryPolicy: RetryPolicy,
    ) {
        val fixture = DispatchFixture(listOf(target("a"), target("b")))
        fixture.receive(route(retryPolicy))
        val first = fixture.lastSend
        fixture.endAttempt(first, broken)
        if (retryPolicy == RetryPolicy.AT_MOST_ONCE) {
            assertIs<RequestFailure.MayHaveRun>(fixture.lastFailure)
        } else {
            assertNotEquals(first.target.id, fixture.lastSend.target.id)
        }
    }

    @Test
    fun `Given a target that did not start the request, when another is free, then any request is retried`() {
        val fixture = DispatchFixture(listOf(target("a"), target("b")))
        fixture.receive(route(RetryPolicy.AT_MOST_ONCE, maximumAttempts = 1))
        val first = fixture.lastSend
        fixture.endAttempt(first, notStarted)
        assertNotEquals(first.target.id, fixture.lastSend.target.id)
    }

    @Test
    fun `Given targets that did not start the request, when none is left, then the request fails as not run`() {
        val fixture = DispatchFixture(listOf(target("a"), target("b")))
        fixture.receive(route(RetryPolicy.AT_MOST_ONCE))
        fixture.endAttempt(fixture.lastSend, notStarted)
        fixture.endAttempt(fixture.lastSend, unreachable)
        assertIs<RequestFailure.NotRun>(fixture.lastFailure)
    }

    @Test
    fun `Given a first attempt that may have run, when the second is not started, then the request may have run`() {
        val fixture = DispatchFixture(listOf(target("a"), target("b")))
        fixture.receive(route(RetryPolicy.IDEMPOTENT))
        fixture.endAttempt(fixture.lastSend, broken)
        fixture.endAttempt(fixture.lastSend, notStarted)
        assertIs<RequestFailure.MayHaveRun>(fixture.lastFailure)
    }

    /** Guards against a target that gets too much, as its attempts in flight are forgotten. */
    @Test
    fun `Given attempts in flight, when their target disappears and returns, then they still count`() {
        val fixture = DispatchFixture(listOf(target("a", slots = 50)))
        val sends = List(3) {
            fixture.receive(route(RetryPolicy.AT_MOST_ONCE))
            fixture.lastSend
        }
        fixture.submit(DispatchEvent.TargetsChanged(emptyList()))
        fixture.submit(DispatchEvent.TargetsChanged(listOf(target("a", slots = 50))))
        assertEquals(3, fixture.state.targets.values.single().inFlight)
        fixture.endAttempt(sends.first(), AttemptResult.Answered(status = 200, isDelivered = true))
        assertEquals(2, fixture.state.targets.values.single().inFlight)
    }

    /** Guards against a target that gets too much, as attempts of its predecessor end. */
    @Test
    fun `Given an attempt, when another process starts under the target's id, then the end is not counted there`() {
        val fixture = DispatchFixture(listOf(target("a", slots = 50)))
        fixture.receive(route(RetryPolicy.AT_MOST_ONCE))
        val old = fixture.lastSend
        fixture.submit(DispatchEvent.TargetsChanged(listOf(target("a", slots = 50, startedAtMillis = 2))))
        fixture.receive(route(RetryPolicy.AT_MOST_ONCE))
        assertEquals(1, fixture.state.targets.values.single().inFlight)
        fixture.endAttempt(old, broken)
        val target = fixture.state.targets.values.single()
        assertEquals(listOf<Any?>(1, 0), listOf(target.inFlight, target.failures))
    }

    /** Guards against requests that a router holds although its links to all targets are cut. */
    @Test
    fun `Given links cut to all targets, when connects time out, then the client learns it in time to go elsewhere`() {
        val fixture = DispatchFixture(List(8) { target("t$it") })
        val route = route(RetryPolicy.AT_MOST_ONCE)
        fixture.receive(route)
        val receivedAt = fixture.now
        while (fixture.effects.none { it is DispatchEffect.Fail }) {
            val send = fixture.lastSend
            fixture.advance(send.connectTimeout)
            fixture.endAttempt(send, unreachable)
        }
        assertIs<RequestFailure.NotRun>(fixture.lastFailure)
        assertTrue(fixture.now - receivedAt <= route.latencyObjective, "held for ${fixture.now - receivedAt}")
    }

    @Test
    fun `Given an exhausted retry budget, when an attempt breaks, then it is not retried`() {
        val fixture = DispatchFixture(listOf(target("a", slots = 50), target("b", slots = 50)), retrySlack = 1.0)
        val sends = (1..3).map {
            fixture.receive(route(RetryPolicy.IDEMPOTENT))
            fixture.lastSend
        }
        fixture.endAttempt(sends[0], broken)
        assertEquals(sends[0].id, fixture.lastSend.id)
        fixture.endAttempt(sends[1], broken)
        assertIs<RequestFailure.MayHaveRun>(fixture.lastFailure)
    }

    @Test
    fun `Given a server error, when the request is idempotent, then it is retried once on another target`() {
        val fixture = DispatchFixture(listOf(target("a"), target("b")))
        fixture.receive(route(RetryPolicy.IDEMPOTENT))
        fixture.endAttempt(fixture.lastSend, AttemptResult.Answered(status = 500, isDelivered = false))
        fixture.endAttempt(fixture.lastSend, AttemptResult.Answered(status = 500, isDelivered = false))
        assertIs<DispatchEffect.Deliver>(fixture.effects.single())
    }

    @Test
    fun `Given a partly delivered stream, when its attempt breaks, then only a resumable one is retried`() {
        listOf(RetryPolicy.IDEMPOTENT, RetryPolicy.AT_MOST_ONCE, RetryPolicy.RESUMABLE).forEach { retryPolicy ->
            val fixture = DispatchFixture(listOf(target("a"), target("b")))
            val id = fixture.receive(route(retryPolicy, isStream = true))
            val first = fixture.lastSend
            fixture.submit(DispatchEvent.ResponseStarted(id, first.attempt))
            fixture.endAttempt(first, broken)
            val isRetried = fixture.effects.any { it is DispatchEffect.Send }
            assertEquals(retryPolicy == RetryPolicy.RESUMABLE, isRetried, "$retryPolicy")
        }
    }

    @Test
    fun `Given a resumed stream, when its new target responds with an error, then the error is not delivered`() {
        val fixture = DispatchFixture(listOf(target("a"), target("b")))
        val id = fixture.receive(route(RetryPolicy.RESUMABLE, isStream = true))
        val first = fixture.lastSend
        fixture.submit(DispatchEvent.ResponseStarted(id, first.attempt))
        fixture.endAttempt(first, broken)
        fixture.endAttempt(fixture.lastSend, AttemptResult.Answered(status = 500, isDelivered = false))
        assertIs<RequestFailure.MayHaveRun>(fixture.lastFailure)
    }

    @Test
    fun `Given no available target, when an eighth of the latency objective has passed, then the request is refused`() {
        val fixture = DispatchFixture(emptyList())
        fixture.receive(route(RetryPolicy.IDEMPOTENT))
        fixture.advance(11.milliseconds)
        assertTrue(fixture.effects.isEmpty())
        fixture.advance(2.milliseconds)
        assertIs<RequestFailure.NotRun>(fixture.lastFailure)
    }

    @Test
    fun `Given a queued request, when a slot becomes free, then it is sent`() {
        val fixture = DispatchFixture(listOf(target("a", slots = 1)))
        repeat(2) { fixture.receive(route(RetryPolicy.AT_MOST_ONCE)) }
        val inFlight = fixture.lastSend
        val queued = fixture.receive(route(RetryPolicy.AT_MOST_ONCE))
        assertTrue(fixture.effects.isEmpty())
        fixture.endAttempt(inFlight, AttemptResult.Answered(status = 200, isDelivered = false))
        assertEquals(queued, fixture.lastSend.id)
    }

    @Test
    fun `Given an unresponsive target, when an idempotent attempt is slow, then it is cancelled and retried`() {
        val fixture = DispatchFixture(listOf(target("a"), target("b")))
        fixture.receive(route(RetryPolicy.IDEMPOTENT))
        val first = fixture.lastSend
        fixture.advance(80.milliseconds)
        assertEquals(DispatchEffect.Cancel(first.id, first.attempt), fixture.effects.first())
        assertNotEquals(first.target.id, fixture.lastSend.target.id)
    }

    @Test
    fun `Given an unresponsive target, when the deadline passes, then the attempt is cancelled and the request ends`() {
        val fixture = DispatchFixture(listOf(target("a")))
        fixture.receive(route(RetryPolicy.AT_MOST_ONCE))
        fixture.advance(1.seconds)
        assertIs<DispatchEffect.Cancel>(fixture.effects.first())
        assertIs<RequestFailure.TimedOut>(fixture.lastFailure)
        assertTrue(fixture.state.requests.isEmpty())
    }

    @Test
    fun `Given a target with repeated failures, when an attempt breaks, then the ejection time doubles`() {
        val fixture = DispatchFixture(listOf(target("a")))
        val ejectionTimes = (1..3).map {
            fixture.receive(route(RetryPolicy.AT_MOST_ONCE))
            fixture.endAttempt(fixture.lastSend, broken)
            fixture.effects.filterIsInstance<DispatchEffect.TargetEjected>().single().duration
        }
        assertEquals(listOf(300, 600, 1_200), ejectionTimes.map { it.inWholeMilliseconds.toInt() })
    }

    @Test
    fun `Given an attempt in flight, when the client disconnects, then it is cancelled and its slot is free`() {
        val fixture = DispatchFixture(listOf(target("a")))
        val id = fixture.receive(route(RetryPolicy.AT_MOST_ONCE))
        fixture.submit(DispatchEvent.ClientDisconnected(id))
        assertIs<DispatchEffect.Cancel>(fixture.effects.single())
        assertEquals(0, fixture.state.targets.values.single().inFlight)
    }

    @Test
    fun `Given a draining target, when a request arrives, then it is not sent to that target`() {
        val fixture = DispatchFixture(listOf(target("a", isDraining = true)))
        fixture.receive(route(RetryPolicy.IDEMPOTENT))
        assertTrue(fixture.effects.isEmpty())
    }

    @Test
    fun `Given a target with an attempt in flight, when its process is replaced, then its in-flight count is zero`() {
        val fixture = DispatchFixture(listOf(target("a")))
        fixture.receive(route(RetryPolicy.IDEMPOTENT))
        fixture.submit(DispatchEvent.TargetsChanged(listOf(target("a", startedAtMillis = 2))))
        assertEquals(0, fixture.state.targets.values.single().inFlight)
    }

    @Test
    fun `Given a prompt on a draining target, when it is sent again, then its new target may copy the cache`() {
        val fixture = DispatchFixture(listOf(target("a"), target("b")))
        val streamRoute = route(RetryPolicy.AT_MOST_ONCE, isStream = true)
        fixture.receive(streamRoute, promptKey = "p")
        val firstTarget = fixture.lastSend.target
        fixture.endAttempt(fixture.lastSend, AttemptResult.Answered(status = 200, isDelivered = true))
        val draining = listOf("a", "b").map { target(it, isDraining = it == firstTarget.id.value) }
        fixture.submit(DispatchEvent.TargetsChanged(draining))
        fixture.receive(streamRoute, promptKey = "p")
        assertNotEquals(firstTarget.id, fixture.lastSend.target.id)
        assertEquals(firstTarget.id, fixture.lastSend.cacheSource?.id)
    }
}
