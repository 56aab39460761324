package org.cicadaarch.dispatch.warmup

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds
import org.cicadaarch.dispatch.request.DispatchFixture
import org.cicadaarch.dispatch.target.SelectionCriteria
import org.cicadaarch.dispatch.target.TargetSelector
import org.cicadaarch.dispatch.target.TargetState
import org.cicadaarch.model.TargetId
import org.cicadaarch.model.Timestamp
import org.cicadaarch.model.ZoneName

class WarmUpRampTest {
    private val selector = TargetSelector(ZoneName("a"), imbalanceFactor = 2.0)

    /** Guards against a target that gets all its prompts at once at the end of its warm-up. */
    @Test
    fun `Given a target that has warmed up, when time passes, then its share of the prompts grows step by step`() {
        data class Case(val secondsAfter: Int, val share: ClosedRange<Double>)
        val cases = listOf(
            Case(secondsAfter = 0, share = 0.0..0.0),
            Case(secondsAfter = 2, share = 0.1..0.3),
            Case(secondsAfter = 5, share = 0.4..0.6),
            Case(secondsAfter = 8, share = 0.7..0.9),
            Case(secondsAfter = 10, share = 1.0..1.0),
            Case(secondsAfter = 60, share = 1.0..1.0),
        )
        val full = PROMPTS.filter { selected(it, warmedUpAt(null)) == NEW }
        assertTrue(full.size > PROMPTS.size / 8)
        for (case in cases) {
            val moved = full.count { selected(it, warmedUpAt(case.secondsAfter)) == NEW }
            assertTrue(moved.toDouble() / full.size in case.share, "${case.secondsAfter} s: $moved of ${full.size}")
        }
    }

    @Test
    fun `Given a target that has warmed up, when time passes, then a prompt that moved to it stays there`() {
        val steps = (0..10).map { time -> PROMPTS.filter { selected(it, warmedUpAt(time)) == NEW }.toSet() }
        steps.zipWithNext { before, after -> assertTrue(after.containsAll(before)) }
    }

    @Test
    fun `Given a target that has warmed up, when requests without a prompt come, then it gets a share of them`() {
        val shares = listOf(0, 5, 10).map { time ->
            (1..400).count { selected(promptKey = null, warmedUpAt(time), tieBreaker = it) == NEW } / 400.0
        }
        assertEquals(0.0, shares[0])
        assertTrue(shares[1] > 0.0 && shares[1] < shares[2], "$shares")
    }

    /** Guards against a prompt that is computed again at the target to which it moves. */
    @Test
    fun `Given a prompt, when it moves to a target that has warmed up, then its cache is copied from where it was`() {
        val moving = PROMPTS.filter {
            selected(it, warmedUpAt(4)) != NEW && selected(it, warmedUpAt(6)) == NEW
        }
        assertTrue(moving.size > 5)
        for (prompt in moving) {
            val before = selected(prompt, warmedUpAt(4))
            val targets = warmedUpAt(6)
            val source = selector.cacheSource(targets, prompt, NEW, lastTarget = null, NOW, rules())
            assertEquals(before, source?.entry?.id, "from the rendezvous order")
            val known = selector.cacheSource(targets, prompt, NEW, lastTarget = TargetId("old-1"), NOW, rules())
            assertEquals("old-1", known?.entry?.id?.value, "from the last target")
        }
    }

    /** Guards against a copy from a target that has just started and has no caches. */
    @Test
    fun `Given a warming target, when a prompt of its goes to another one, then its cache is not copied from there`() {
        val warming = targets(WarmUp(endsAt = NOW + 5.seconds))
        val prompts = PROMPTS.filter { selected(it, warmedUpAt(null)) == NEW }
        for (prompt in prompts) {
            val other = assertNotNull(selected(prompt, warming))
            val source = selector.cacheSource(warming, prompt, other, lastTarget = null, NOW, rules())
            assertTrue(source?.entry?.id != NEW, prompt)
        }
    }

    /** Guards against prompts that wander while all targets are equally new. */
    @Test
    fun `Given only targets that have just warmed up, when prompts are placed, then each is where it stays`() {
        val fresh = targets(warmUp = null).map { it.copy(warmUp = WarmUp(endsAt = NOW - 3.seconds)) }
        for (prompt in PROMPTS) assertEquals(selected(prompt, targets(warmUp = null)), selected(prompt, fresh))
    }

    /** Guards against targets over the load bound beside one that has room. */
    @Test
    fun `Given targets over the bound, when a prompt is placed, then a target with a part of its share takes it`() {
        val targets = warmedUpAt(1).map { target ->
            target.withFleetLoad(heavy = null, typical = if (target.entry.id == NEW) 0.0 else 40.0, observedAt = NOW)
        }
        val prompt = PROMPTS.first { selected(it, warmedUpAt(1)) != NEW }
        val criteria = SelectionCriteria(prompt, excluded = emptySet(), tieBreaker = 1)
        val strict = TargetSelector(ZoneName("a"), imbalanceFactor = 1.0)
        assertEquals(NEW, strict.select(targets, criteria, NOW, rules())?.target?.entry?.id)
    }

    @Test
    fun `Given the other targets full, when no window is open, then no target is selected`() {
        val targets = targets(WarmUp(endsAt = NOW + 5.seconds)).map { target ->
            if (target.entry.id == NEW) target else target.copy(inFlight = SLOTS)
        }
        val used = (0L..<400).count { seed ->
            val criteria = SelectionCriteria("prompt", excluded = emptySet(), tieBreaker = 1)
            selector.select(targets, criteria, NOW, rules(seed)) != null
        }
        assertTrue(used < 10, "$used of 400 routers at one moment")
        assertNull(selected("prompt", targets.filter { it.entry.id != NEW }))
    }

    private fun selected(promptKey: String?, targets: List<TargetState>, tieBreaker: Int = 1): TargetId? {
        val criteria = SelectionCriteria(promptKey, excluded = emptySet(), tieBreaker)
        return selector.select(targets, criteria, NOW, rules())?.target?.entry?.id
    }

    private fun rules(seed: Long = 7) = WarmUpRules(WarmUpFleet.LIMIT, requestsPerSecond = 11.0, routerSeed = seed, NOW)

    /** Old targets, and a new one that warmed up [secondsAgo]; never if that is null. */
    private fun warmedUpAt(secondsAgo: Int?) = targets(secondsAgo?.let { WarmUp(endsAt = NOW - it.seconds) })

    private fun targets(warmUp: WarmUp?): List<TargetState> = List(4) { state("old-$it") } +
        state(NEW.value).copy(warmUp = warmUp)

    private fun state(id: String) = TargetState(DispatchFixture.target(id, slots = SLOTS))

    private companion object {
        val NOW = Timestamp(1_000_000)
        val NEW = TargetId("new")
        val PROMPTS = List(500) { "prompt-$it" }
        const val SLOTS = 64
    }
}
