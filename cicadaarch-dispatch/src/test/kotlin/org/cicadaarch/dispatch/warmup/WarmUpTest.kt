package org.cicadaarch.dispatch.warmup

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import org.cicadaarch.dispatch.request.DispatchEvent
import org.cicadaarch.dispatch.request.DispatchFixture
import org.cicadaarch.model.TargetId
import org.cicadaarch.model.ZoneName

class WarmUpTest {
    /** Guards against a warm-up that restarts or ends because an entry is told on late, or is written again. */
    @Test
    fun `Given a warm-up, when an entry of the same process is seen, then only a newer one or a longer time counts`() {
        data class Case(val name: String, val sequence: Long, val remaining: Duration, val left: Duration)
        val cases = listOf(
            Case("the same entry again", sequence = 5, remaining = 10.seconds, left = 6.seconds),
            Case("an older entry", sequence = 4, remaining = 30.seconds, left = 6.seconds),
            Case("a newer entry, as expected", sequence = 6, remaining = 6.seconds, left = 6.seconds),
            Case("a newer entry, cold for as long again", sequence = 6, remaining = 10.seconds, left = 10.seconds),
            Case("a newer entry, warm sooner", sequence = 6, remaining = 2.seconds, left = 2.seconds),
            Case("a newer entry, warm", sequence = 6, remaining = Duration.ZERO, left = Duration.ZERO),
            Case("another entry of the same age, shorter", sequence = 5, remaining = 2.seconds, left = 6.seconds),
            Case("another entry of the same age, longer", sequence = 5, remaining = 20.seconds, left = 20.seconds),
        )
        for (case in cases) {
            val fixture = DispatchFixture(listOf(target(sequence = 5, remaining = 10.seconds)))
            fixture.advance(4.seconds)
            fixture.submit(DispatchEvent.TargetsChanged(listOf(target(case.sequence, case.remaining))))
            assertEquals(case.left, remaining(fixture), case.name)
        }
    }

    /** Guards against a target that is taken for warm because it was warm once. */
    @Test
    fun `Given a target that warmed up, when a newer entry says it is cold, then it warms up again`() {
        val fixture = DispatchFixture(listOf(target(sequence = 1, remaining = 10.seconds)))
        fixture.advance(10.seconds)
        assertEquals(Duration.ZERO, remaining(fixture))
        fixture.submit(DispatchEvent.TargetsChanged(listOf(target(sequence = 2, remaining = Duration.ZERO))))
        assertEquals(Duration.ZERO, remaining(fixture))
        fixture.submit(DispatchEvent.TargetsChanged(listOf(target(sequence = 3, remaining = 4.seconds))))
        assertEquals(4.seconds, remaining(fixture))
    }

    @Test
    fun `Given a warm-up, when another process takes the id over, then that one's entry counts`() {
        val fixture = DispatchFixture(listOf(target(sequence = 5, remaining = 10.seconds)))
        val next = target(sequence = 1, remaining = Duration.ZERO).copy(startedAtMillis = 2)
        fixture.submit(DispatchEvent.TargetsChanged(listOf(next)))
        assertNull(fixture.state.targets.getValue(ID).warmUp)
    }

    /** Guards against services without a limit that are served otherwise after an evacuation. */
    @Test
    fun `Given a service without a limit, when an evacuation ends, then its targets do not count as warming`() {
        val fixture = DispatchFixture(listOf(target(sequence = 1, remaining = Duration.ZERO)))
        fixture.submit(DispatchEvent.ZonesEvacuated(setOf(ZoneName("a"))))
        fixture.submit(DispatchEvent.ZonesEvacuated(emptySet()))
        assertNull(fixture.state.targets.getValue(ID).warmUp)
    }

    private fun remaining(fixture: DispatchFixture): Duration {
        val endsAt = checkNotNull(fixture.state.targets.getValue(ID).warmUp).endsAt
        return (endsAt - fixture.now).coerceAtLeast(Duration.ZERO)
    }

    private fun target(sequence: Long, remaining: Duration) =
        DispatchFixture.target(ID.value, warmUpRemaining = remaining).copy(sequence = sequence)

    private companion object {
        val ID = TargetId("target")
    }
}
