package org.cicadaarch.request

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.cicadaarch.admission.AdmissionMessage
import org.cicadaarch.model.Idempotency
import org.cicadaarch.model.IdempotencyKey
import org.cicadaarch.model.Outcome
import org.cicadaarch.model.Priority
import org.cicadaarch.model.ServiceName
import org.cicadaarch.request.IngressFixture.Companion.REQUEST
import org.cicadaarch.request.IngressFixture.Companion.head
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.Arguments
import org.junit.jupiter.params.provider.Arguments.arguments
import org.junit.jupiter.params.provider.MethodSource

class IngressReducerTest {
    private val keyed = Idempotency.Keyed(IdempotencyKey("booking-7"))

    @Test
    fun `Given a permit, when the response is complete, then the request completes once and releases the permit`() {
        val fixture = IngressFixture().apply { send(IngressEvent.RequestReceived(head())) }
        val started = fixture.grant()
        fixture.send(IngressEvent.ResponseStarted(started.attempt))
        fixture.send(IngressEvent.AttemptCompleted(started.attempt))
        assertEquals(IngressEffect.EndRequest(REQUEST, Outcome.COMPLETED, null), fixture.ending())
        assertTrue(fixture.releasesPermitOf(started))
        assertTrue(fixture.state.requests.isEmpty())
        assertTrue(fixture.send(IngressEvent.AttemptCompleted(started.attempt)).isEmpty())
    }

    @ParameterizedTest
    @MethodSource("refusalsOnArrival")
    fun `Given a request that must not run, when it arrives, then it ends as not-run`(
        priority: Priority,
        service: String,
        reason: RefusalReason,
    ) {
        val fixture = IngressFixture()
        fixture.send(IngressEvent.RequestReceived(head(priority = priority, service = ServiceName(service))))
        assertEquals(listOf(IngressEffect.EndRequest(REQUEST, Outcome.NOT_RUN, reason)), fixture.effects)
    }

    @ParameterizedTest
    @MethodSource("failures")
    fun `Given a running request, when its attempt fails, then it is retried or ends as may-have-run`(
        idempotency: Idempotency,
        failure: AttemptFailure,
        expected: Outcome?,
    ) {
        val fixture = IngressFixture().apply { send(IngressEvent.RequestReceived(head(idempotency))) }
        if (idempotency is Idempotency.Keyed) {
            fixture.send(IngressEvent.ClaimAnswered(REQUEST, ClaimResult.Granted))
        }
        val started = fixture.grant()
        fixture.fail(started.attempt, failure)
        assertEquals(expected, fixture.ending()?.outcome)
        if (expected == null) assertNotEquals(started.target, fixture.permitRequest().target)
    }

    @Test
    fun `Given an owner that does not reply, when the permit is overdue, then one attempt starts without a permit`() {
        val fixture = IngressFixture().apply { send(IngressEvent.RequestReceived(head())) }
        val started = fixture.tickAfter(300.milliseconds).filterIsInstance<IngressEffect.StartAttempt>()
        assertEquals(1, started.size)
        assertEquals(1, fixture.state.inFlightWithoutPermit[started.single().target])
        fixture.send(IngressEvent.AttemptCompleted(started.single().attempt))
        assertTrue(fixture.state.inFlightWithoutPermit.isEmpty())
    }

    @Test
    fun `Given an abandoned attempt, when its permit is granted late, then the permit is released`() {
        val fixture = IngressFixture().apply { send(IngressEvent.RequestReceived(head())) }
        val request = fixture.permitRequest()
        fixture.tickAfter(300.milliseconds)
        val lateGrant = AdmissionMessage.PermitGranted(request.attempt, request.target, 10.seconds)
        val effects = fixture.send(IngressEvent.PermitAnswered(lateGrant))
        assertEquals(
            listOf(AdmissionMessage.PermitReleased(request.attempt, request.target)),
            effects.map { (it as IngressEffect.SendToOwner).message },
        )
    }

    @Test
    fun `Given that all owners redirect, when the deadline passes, then the request ends as not-run`() {
        val fixture = IngressFixture().apply { send(IngressEvent.RequestReceived(head())) }
        repeat(3) { fixture.redirect() }
        assertNull(fixture.ending())
        fixture.tickAfter(2.seconds)
        assertEquals(IngressEffect.EndRequest(REQUEST, Outcome.NOT_RUN, RefusalReason.LATE), fixture.ending())
    }

    @Test
    fun `Given a broken stream, when targets can resume it, then it resumes after the delivered events`() {
        val fixture = IngressFixture().apply { send(IngressEvent.RequestReceived(head())) }
        val first = fixture.grant()
        fixture.send(IngressEvent.ResponseStarted(first.attempt))
        fixture.fail(first.attempt, AttemptFailure.ConnectionLost, delivered = 17)
        assertEquals(17, fixture.grant().resumeAfter)
    }

    @Test
    fun `Given a broken stream, when no target can resume it, then the request ends as may-have-run`() {
        val fixture = IngressFixture(resumesStreams = false).apply { send(IngressEvent.RequestReceived(head())) }
        val first = fixture.grant()
        fixture.send(IngressEvent.ResponseStarted(first.attempt))
        fixture.fail(first.attempt, AttemptFailure.ConnectionLost, delivered = 17)
        assertEquals(Outcome.MAY_HAVE_RUN, fixture.ending()?.outcome)
    }

    @Test
    fun `Given a request that crashes targets, when the crash limit is reached, then it is not run again`() {
        val fixture = IngressFixture().apply { send(IngressEvent.RequestReceived(head())) }
        repeat(3) { fixture.fail(fixture.grant().attempt, AttemptFailure.ConnectionLost) }
        assertEquals(Outcome.MAY_HAVE_RUN, fixture.ending()?.outcome)
        assertEquals(RefusalReason.CRASHES_TARGETS, fixture.ending()?.reason)
        fixture.send(IngressEvent.RequestReceived(head()))
        assertEquals(
            IngressEffect.EndRequest(REQUEST, Outcome.NOT_RUN, RefusalReason.CRASHES_TARGETS),
            fixture.ending(),
        )
    }

    @Test
    fun `Given a target without progress, when its probe fails, then the request is retried on another target`() {
        val fixture = IngressFixture().apply { send(IngressEvent.RequestReceived(head())) }
        val started = fixture.grant()
        fixture.send(IngressEvent.ResponseStarted(started.attempt))
        assertEquals(
            listOf(IngressEffect.ProbeTarget(started.attempt, started.target)),
            fixture.tickAfter(3.seconds).filterIsInstance<IngressEffect.ProbeTarget>(),
        )
        fixture.send(IngressEvent.ProbeAnswered(started.attempt, alive = false))
        assertTrue(IngressEffect.CancelAttempt(started.attempt) in fixture.effects)
        assertNotEquals(started.target, fixture.permitRequest().target)
    }

    @Test
    fun `Given a slow target that responds to probes, when it progresses, then the attempt is not cancelled`() {
        val fixture = IngressFixture().apply { send(IngressEvent.RequestReceived(head())) }
        val started = fixture.grant()
        fixture.send(IngressEvent.ResponseStarted(started.attempt))
        fixture.tickAfter(3.seconds)
        fixture.send(IngressEvent.ProbeAnswered(started.attempt, alive = true))
        fixture.tickAfter(2.seconds)
        fixture.send(IngressEvent.Progressed(started.attempt, delivered = 1))
        fixture.tickAfter(2.seconds)
        assertTrue(fixture.effects.none { it is IngressEffect.CancelAttempt })
    }

    @Test
    fun `Given a running request, when its client disconnects, then the attempt is cancelled`() {
        val fixture = IngressFixture().apply { send(IngressEvent.RequestReceived(head())) }
        val started = fixture.grant()
        fixture.send(IngressEvent.ClientDisconnected(REQUEST))
        assertTrue(IngressEffect.CancelAttempt(started.attempt) in fixture.effects)
        assertTrue(fixture.releasesPermitOf(started))
    }

    @ParameterizedTest
    @MethodSource("claimResults")
    fun `Given a keyed request, when its claim is answered, then it goes on only if the claim was granted`(
        result: ClaimResult,
        expected: Outcome?,
    ) {
        val fixture = IngressFixture().apply { send(IngressEvent.RequestReceived(head(keyed))) }
        assertTrue(fixture.effects.single() is IngressEffect.Claim)
        fixture.send(IngressEvent.ClaimAnswered(REQUEST, result))
        assertEquals(expected, fixture.ending()?.outcome)
    }

    private fun IngressFixture.releasesPermitOf(started: IngressEffect.StartAttempt): Boolean = effects
        .filterIsInstance<IngressEffect.SendToOwner>()
        .mapNotNull { it.message as? AdmissionMessage.PermitReleased }
        .any { it.attempt == started.attempt && it.target == started.target }

    private companion object {
        @JvmStatic
        fun refusalsOnArrival(): List<Arguments> = listOf(
            arguments(Priority.BATCH, "model", RefusalReason.PRIORITY_NOT_ADMITTED),
            arguments(Priority.STANDARD, "unknown", RefusalReason.UNKNOWN_SERVICE),
        )

        @JvmStatic
        fun failures(): List<Arguments> {
            val keyed = Idempotency.Keyed(IdempotencyKey("booking-7"))
            val lost = AttemptFailure.ConnectionLost
            return listOf(
                arguments(Idempotency.Idempotent, AttemptFailure.NotConnected, null),
                arguments(Idempotency.Idempotent, AttemptFailure.Rejected(status = 503), null),
                arguments(Idempotency.Idempotent, lost, null),
                arguments(keyed, AttemptFailure.NotConnected, null),
                arguments(keyed, AttemptFailure.Rejected(status = 503), null),
                arguments(keyed, lost, Outcome.MAY_HAVE_RUN),
                arguments(Idempotency.Keyless, AttemptFailure.NotConnected, null),
                arguments(Idempotency.Keyless, lost, Outcome.MAY_HAVE_RUN),
            )
        }

        @JvmStatic
        fun claimResults(): List<Arguments> = listOf(
            arguments(ClaimResult.Granted, null),
            arguments(ClaimResult.Taken(outcome = null), Outcome.ALREADY_RUN),
            arguments(ClaimResult.Taken(Outcome.COMPLETED), Outcome.ALREADY_RUN),
            arguments(ClaimResult.Unavailable, Outcome.NOT_RUN),
        )
    }
}
