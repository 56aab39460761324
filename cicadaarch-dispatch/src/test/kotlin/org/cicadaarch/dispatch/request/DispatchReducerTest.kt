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
    private val refused = AttemptResult.NotStarted("full", reachedTarget = true, isTargetAtFault = false)
    private val unreachable = AttemptResult.NotStarted("connect", reachedTarget = false, isTargetAtFault = true)

    @ParameterizedTest
    @EnumSource(RetryPolicy::class)
    fun `Given an attempt that may have run, when it breaks, then only what may be repeated goes to another target`(
        repetition: RetryPolicy,
    ) {
        val fixture = DispatchFixture(listOf(target("a"), target("b")))
        fixture.arrive(route(repetition))
        val first = fixture.lastSend
        fixture.end(first, broken)
        if (repetition == RetryPolicy.AT_MOST_ONCE) {
            assertIs<RequestFailure.MayHaveRun>(fixture.lastFailure)
        } else {
            assertNotEquals(first.target.id, fixture.lastSend.target.id)
        }
    }

    @Test
    fun `Given a target that proves it did not start, when others are free, then any request goes on`() {
        val fixture = DispatchFixture(listOf(target("a"), target("b")))
        fixture.arrive(route(RetryPolicy.AT_MOST_ONCE, maximumAttempts = 1))
        val first = fixture.lastSend
        fixture.end(first, refused)
        assertNotEquals(first.target.id, fixture.lastSend.target.id)
    }

    @Test
    fun `Given all targets prove that they did not start, when none is left, then the request is refused as not run`() {
        val fixture = DispatchFixture(listOf(target("a"), target("b")))
        fixture.arrive(route(RetryPolicy.AT_MOST_ONCE))
        fixture.end(fixture.lastSend, refused)
        fixture.end(fixture.lastSend, unreachable)
        assertIs<RequestFailure.NotRun>(fixture.lastFailure)
    }

    @Test
    fun `Given a first attempt that may have run, when the second did not start, then no refusal is claimed`() {
        val fixture = DispatchFixture(listOf(target("a"), target("b")))
        fixture.arrive(route(RetryPolicy.IDEMPOTENT))
        fixture.end(fixture.lastSend, broken)
        fixture.end(fixture.lastSend, refused)
        assertIs<RequestFailure.MayHaveRun>(fixture.lastFailure)
    }

    @Test
    fun `Given the retry budget is spent, when attempts break, then no second attempt is sent`() {
        val fixture = DispatchFixture(listOf(target("a", slots = 50), target("b", slots = 50)), slack = 1.0)
        val sends = (1..3).map {
            fixture.arrive(route(RetryPolicy.IDEMPOTENT))
            fixture.lastSend
        }
        fixture.end(sends[0], broken)
        assertEquals(sends[0].id, fixture.lastSend.id)
        fixture.end(sends[1], broken)
        assertIs<RequestFailure.MayHaveRun>(fixture.lastFailure)
    }

    @Test
    fun `Given an error of the target, when the request may be repeated, then another target is asked`() {
        val fixture = DispatchFixture(listOf(target("a"), target("b")))
        fixture.arrive(route(RetryPolicy.IDEMPOTENT))
        fixture.end(fixture.lastSend, AttemptResult.Answered(status = 500, isDelivered = false))
        fixture.end(fixture.lastSend, AttemptResult.Answered(status = 500, isDelivered = false))
        assertIs<DispatchEffect.Deliver>(fixture.effects.single())
    }

    @Test
    fun `Given a stream that is being delivered, when its attempt breaks, then only a resumable one goes on`() {
        listOf(RetryPolicy.IDEMPOTENT, RetryPolicy.AT_MOST_ONCE, RetryPolicy.RESUMABLE).forEach { repetition ->
            val fixture = DispatchFixture(listOf(target("a"), target("b")))
            val id = fixture.arrive(route(repetition, isStream = true))
            val first = fixture.lastSend
            fixture.submit(DispatchEvent.ResponseStarted(id, first.attempt))
            fixture.end(first, broken)
            val isSentAgain = fixture.effects.any { it is DispatchEffect.Send }
            assertEquals(repetition == RetryPolicy.RESUMABLE, isSentAgain, "$repetition")
        }
    }

    @Test
    fun `Given a resumed stream, when its target answers with an error, then the error is not delivered`() {
        val fixture = DispatchFixture(listOf(target("a"), target("b")))
        val id = fixture.arrive(route(RetryPolicy.RESUMABLE, isStream = true))
        val first = fixture.lastSend
        fixture.submit(DispatchEvent.ResponseStarted(id, first.attempt))
        fixture.end(first, broken)
        fixture.end(fixture.lastSend, AttemptResult.Answered(status = 500, isDelivered = false))
        assertIs<RequestFailure.MayHaveRun>(fixture.lastFailure)
    }

    @Test
    fun `Given no target has a place, when an eighth of the objective passed, then the request is refused`() {
        val fixture = DispatchFixture(emptyList())
        fixture.arrive(route(RetryPolicy.IDEMPOTENT))
        fixture.pass(11.milliseconds)
        assertTrue(fixture.effects.isEmpty())
        fixture.pass(2.milliseconds)
        assertIs<RequestFailure.NotRun>(fixture.lastFailure)
    }

    @Test
    fun `Given a request that waits, when a place becomes free, then it is sent`() {
        val fixture = DispatchFixture(listOf(target("a", slots = 1)))
        repeat(2) { fixture.arrive(route(RetryPolicy.AT_MOST_ONCE)) }
        val running = fixture.lastSend
        val waiting = fixture.arrive(route(RetryPolicy.AT_MOST_ONCE))
        assertTrue(fixture.effects.isEmpty())
        fixture.end(running, AttemptResult.Answered(status = 200, isDelivered = false))
        assertEquals(waiting, fixture.lastSend.id)
    }

    @Test
    fun `Given a silent target, when an idempotent request is overdue, then it is broken off and sent elsewhere`() {
        val fixture = DispatchFixture(listOf(target("a"), target("b")))
        fixture.arrive(route(RetryPolicy.IDEMPOTENT))
        val first = fixture.lastSend
        fixture.pass(80.milliseconds)
        assertEquals(DispatchEffect.Cancel(first.id, first.attempt), fixture.effects.first())
        assertNotEquals(first.target.id, fixture.lastSend.target.id)
    }

    @Test
    fun `Given a silent target, when the time of a request is over, then it ends as timed out and is broken off`() {
        val fixture = DispatchFixture(listOf(target("a")))
        fixture.arrive(route(RetryPolicy.AT_MOST_ONCE))
        fixture.pass(1.seconds)
        assertIs<DispatchEffect.Cancel>(fixture.effects.first())
        assertIs<RequestFailure.TimedOut>(fixture.lastFailure)
        assertTrue(fixture.state.requests.isEmpty())
    }

    @Test
    fun `Given a target that fails again and again, when an attempt breaks, then it is avoided for longer each time`() {
        val fixture = DispatchFixture(listOf(target("a")))
        val times = (1..3).map {
            fixture.arrive(route(RetryPolicy.AT_MOST_ONCE))
            fixture.end(fixture.lastSend, broken)
            fixture.effects.filterIsInstance<DispatchEffect.TargetEjected>().single().duration
        }
        assertEquals(listOf(300, 600, 1_200), times.map { it.inWholeMilliseconds.toInt() })
    }

    @Test
    fun `Given a caller that left, when its attempt runs, then it is broken off and its place is free`() {
        val fixture = DispatchFixture(listOf(target("a")))
        val id = fixture.arrive(route(RetryPolicy.AT_MOST_ONCE))
        fixture.submit(DispatchEvent.ClientDisconnected(id))
        assertIs<DispatchEffect.Cancel>(fixture.effects.single())
        assertEquals(0, fixture.state.targets.values.single().inFlight)
    }

    @Test
    fun `Given a draining target, when a request arrives, then it is not sent there`() {
        val fixture = DispatchFixture(listOf(target("a", isDraining = true)))
        fixture.arrive(route(RetryPolicy.IDEMPOTENT))
        assertTrue(fixture.effects.isEmpty())
    }

    @Test
    fun `Given a target id with a new process, when the list changes, then its counts start anew`() {
        val fixture = DispatchFixture(listOf(target("a")))
        fixture.arrive(route(RetryPolicy.IDEMPOTENT))
        fixture.submit(DispatchEvent.TargetsChanged(listOf(target("a", startedAt = 2))))
        assertEquals(0, fixture.state.targets.values.single().inFlight)
    }

    @Test
    fun `Given a prompt whose home drains, when it comes again, then the new home may copy from the old one`() {
        val fixture = DispatchFixture(listOf(target("a"), target("b")))
        val prompted = route(RetryPolicy.AT_MOST_ONCE, isStream = true)
        fixture.arrive(prompted, promptKey = "p")
        val home = fixture.lastSend.target
        fixture.end(fixture.lastSend, AttemptResult.Answered(status = 200, isDelivered = true))
        val draining = listOf("a", "b").map { target(it, isDraining = it == home.id.value) }
        fixture.submit(DispatchEvent.TargetsChanged(draining))
        fixture.arrive(prompted, promptKey = "p")
        assertNotEquals(home.id, fixture.lastSend.target.id)
        assertEquals(home.id, fixture.lastSend.cacheSource?.id)
    }
}
