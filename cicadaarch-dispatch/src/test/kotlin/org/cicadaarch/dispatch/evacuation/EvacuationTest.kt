package org.cicadaarch.dispatch.evacuation

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.cicadaarch.dispatch.request.AttemptResult
import org.cicadaarch.dispatch.request.DispatchEffect
import org.cicadaarch.dispatch.request.DispatchEvent
import org.cicadaarch.dispatch.request.DispatchFixture
import org.cicadaarch.dispatch.request.RequestFailure
import org.cicadaarch.dispatch.routing.RetryPolicy
import org.cicadaarch.dispatch.target.TargetEntry
import org.cicadaarch.model.Timestamp
import org.cicadaarch.model.ZoneName

class EvacuationTest {
    private val fixture = DispatchFixture(targets())

    /** Guards against requests, retries and resumed streams that reach a zone after its evacuation. */
    @Test
    fun `Given an evacuated zone, when attempts are sent, then all go to other zones`() {
        data class Case(val name: String, val retryPolicy: RetryPolicy, val isStream: Boolean, val promptKey: String?)
        val cases = listOf(
            Case("idempotent", RetryPolicy.IDEMPOTENT, isStream = false, promptKey = null),
            Case("at most once", RetryPolicy.AT_MOST_ONCE, isStream = false, promptKey = null),
            Case("resumable stream", RetryPolicy.RESUMABLE, isStream = true, promptKey = "prompt"),
        )
        for (case in cases) {
            val fixture = DispatchFixture(targets())
            fixture.submit(DispatchEvent.ZonesEvacuated(setOf(ZoneName("b"))))
            repeat(20) { number ->
                val route = DispatchFixture.route(case.retryPolicy, case.isStream, maximumAttempts = 3)
                fixture.receive(route, case.promptKey?.let { "$it-$number" })
                val first = fixture.lastSend
                assertEquals(ZoneName("a"), first.target.zone, case.name)
                fixture.endAttempt(first, AttemptResult.Broken("connection reset"))
                assertTrue(fixture.sends().all { it.target.zone == ZoneName("a") }, case.name)
                fixture.advance(1.seconds)
            }
        }
    }

    /** Guards against a queue that is sent to a zone because its targets are the only ones with a free slot. */
    @Test
    fun `Given the other zones full, when a zone is evacuated, then its free slots are not used`() {
        repeat(SLOTS) { fixture.receive(PLAIN) }
        fixture.submit(DispatchEvent.ZonesEvacuated(setOf(ZoneName("b"))))
        repeat(TARGETS_IN_ZONE * SLOTS * QUEUE_FACTOR * 2) {
            fixture.receive(PLAIN)
            assertTrue(fixture.sends().all { it.target.zone == ZoneName("a") })
        }
        fixture.advance(1.seconds)
        assertTrue(fixture.sends().all { it.target.zone == ZoneName("a") })
    }

    /** Guards against clients that wait for their deadline although no target may serve them. */
    @Test
    fun `Given all zones evacuated, when a request arrives, then it is refused at once as not run`() {
        fixture.submit(DispatchEvent.ZonesEvacuated(setOf(ZoneName("a"), ZoneName("b"))))
        fixture.receive(PLAIN)
        assertEquals(emptyList(), fixture.sends())
        val failure = assertIs<RequestFailure.NotRun>(fixture.lastFailure)
        assertTrue(failure.retryAfter >= 1.seconds)
    }

    /** Guards against an evacuation that breaks off what runs in the zone. */
    @Test
    fun `Given a request in flight, when its zone is evacuated, then it ends with its response`() {
        fixture.receive(PLAIN)
        val send = fixture.lastSend
        fixture.submit(DispatchEvent.ZonesEvacuated(setOf(send.target.zone)))
        assertEquals(emptyList(), fixture.effects)
        fixture.endAttempt(send, AttemptResult.Answered(status = 200, isDelivered = false))
        assertEquals(listOf<DispatchEffect>(DispatchEffect.Deliver(send.id)), fixture.effects)
    }

    /** Guards against a zone that stays empty after operators took its evacuation back. */
    @Test
    fun `Given an evacuation, when it is taken back, then the zone is used again`() {
        fixture.submit(DispatchEvent.ZonesEvacuated(setOf(ZoneName("a"))))
        fixture.receive(PLAIN)
        assertEquals(ZoneName("b"), fixture.lastSend.target.zone)
        fixture.submit(DispatchEvent.ZonesEvacuated(emptySet()))
        fixture.receive(PLAIN)
        assertEquals(ZoneName("a"), fixture.lastSend.target.zone)
    }

    /** Guards against prompts that are computed again although the zone's targets still have them in their caches. */
    @Test
    fun `Given a prompt in an evacuated zone, when it moves, then its cache is copied only for half of the bound`() {
        data class Case(val after: Duration, val isCopied: Boolean)
        val cases = listOf(
            Case(after = Duration.ZERO, isCopied = true),
            Case(after = 2_400.milliseconds, isCopied = true),
            Case(after = 2_600.milliseconds, isCopied = false),
            Case(after = 60.seconds, isCopied = false),
        )
        for (case in cases) {
            val fixture = DispatchFixture(listOf(target("a-1", "a"), target("b-1", "b")))
            fixture.submit(DispatchEvent.ZonesEvacuated(setOf(ZoneName("a"))))
            fixture.advance(case.after)
            fixture.receive(DispatchFixture.route(RetryPolicy.RESUMABLE, isStream = true), promptKey = "prompt")
            assertEquals("b-1", fixture.lastSend.target.id.value)
            val source = fixture.lastSend.cacheSource
            if (case.isCopied) assertEquals("a-1", source?.id?.value) else assertNull(source, "${case.after}")
        }
    }

    @Test
    fun `Given an evacuation, when it is announced again, then its time stays`() {
        val evacuationTime = 5.seconds
        val first = Evacuations().with(setOf(ZoneName("a")), Timestamp(1_000))
        val again = first.with(setOf(ZoneName("a"), ZoneName("b")), Timestamp(4_000))
        assertEquals(setOf(ZoneName("a"), ZoneName("b")), again.zones)
        assertTrue(!again.allowCacheCopies(ZoneName("a"), evacuationTime, Timestamp(4_000)))
        assertTrue(again.allowCacheCopies(ZoneName("b"), evacuationTime, Timestamp(4_000)))
    }

    private fun DispatchFixture.sends() = effects.filterIsInstance<DispatchEffect.Send>()

    private fun targets(): List<TargetEntry> = listOf("a", "b").flatMap { zone ->
        List(TARGETS_IN_ZONE) { target("$zone-$it", zone) }
    }

    private fun target(id: String, zone: String) = DispatchFixture.target(id, slots = SLOTS, zone = zone)

    private companion object {
        const val TARGETS_IN_ZONE = 3
        const val SLOTS = 4

        /** Without a prompt, a target gets attempts up to this multiple of its slots. */
        const val QUEUE_FACTOR = 2
        val PLAIN = DispatchFixture.route(RetryPolicy.AT_MOST_ONCE)
    }
}
