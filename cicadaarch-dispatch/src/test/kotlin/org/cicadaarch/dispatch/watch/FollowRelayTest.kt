package org.cicadaarch.dispatch.watch

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.cicadaarch.model.Timestamp
import org.cicadaarch.model.store.StoreCommand
import org.cicadaarch.model.store.StoreResult
import org.cicadaarch.model.store.StoredValue

/** One router that follows the store and another one to which it relays. */
class FollowRelayTest {
    private val reducer = WatchReducer(prefix = "", removalGracePeriod = 2.seconds, minOutage = 600.milliseconds)
    private var now = Timestamp(0)
    private var watching = WatchState()
    private var told = WatchState()
    private var effects = emptyList<WatchEffect>()

    @Test
    fun `Given a router that knows nothing, when it is told, then it has all values`() {
        watch("a" to 2L, "b" to 3L)
        relay()
        assertEquals(watching.values, told.values)
        assertEquals(watching.revision, told.revision)
    }

    @Test
    fun `Given a router that knows earlier values, when it is told, then only changes are sent and it agrees`() {
        watch("a" to 2L, "b" to 3L)
        relay()
        change(written("c", 9), written("a", 10), removed("b", 11))
        val changes = assertNotNull(watching.updateSince(told.revision, now))
        assertEquals(setOf("a", "c"), changes.values.keys)
        assertEquals(setOf("b"), changes.removed)
        relay()
        assertEquals(watching.values, told.values)
    }

    @Test
    fun `Given a chain of two relays, when the last router is told, then removals arrive there as well`() {
        watch("a" to 2L, "b" to 3L)
        relay()
        val third = reducer.reduce(WatchState(), WatchEvent.PeerUpdateReceived(changes(told, 0)), now).state
        change(removed("b", 11))
        relay()
        val last = reducer.reduce(third, WatchEvent.PeerUpdateReceived(changes(told, third.revision)), now).state
        assertEquals(setOf("a"), last.values.keys)
    }

    @Test
    fun `Given a full read, when a router knows an earlier revision, then it is told everything`() {
        watch("a" to 2L, "b" to 3L)
        relay()
        watching =
            reducer.reduce(watching, WatchEvent.CallCompleted(watching.callId, StoreResult.Compacted), now).state
        answer(StoreResult.Values(listOf(written("c", 12)), revision = 12))
        assertNull(changes(watching, told.revision).baseRevision)
        relay()
        assertEquals(setOf("c"), told.values.keys)
    }

    @Test
    fun `Given a router that knows as much, when it asks, then there is nothing to tell`() {
        watch("a" to 2L)
        relay()
        assertNull(watching.updateSince(told.revision, now))
    }

    @Test
    fun `Given a value that settles after an outage, when it is told, then it is gone at the same moment`() {
        watch("a" to 2L, "b" to 3L)
        relay()
        answer(StoreResult.Unanswered("silence", isTimeout = true))
        now += 1.seconds
        submit(WatchEvent.Tick)
        answer(StoreResult.Values(listOf(removed("b", 11)), revision = 11))
        now += 500.milliseconds
        relay()
        assertEquals(setOf("a", "b"), told.values.keys)
        now += 1500.milliseconds
        told = reducer.reduce(told, WatchEvent.Tick, now).state
        assertEquals(setOf("a"), told.values.keys)
    }

    @Test
    fun `Given changes after a revision that the router has not reached, when they come, then they are ignored`() {
        watch("a" to 2L)
        relay()
        change(written("c", 9))
        val gap = changes(watching, watching.revision - 1).copy(baseRevision = told.revision + 1)
        assertEquals(told, reducer.reduce(told, WatchEvent.PeerUpdateReceived(gap), now).state)
    }

    @Test
    fun `Given a delegated router, when time passes or a late answer comes, then it makes no call until it resumes`() {
        watch("a" to 2L)
        val late = watching.callId
        submit(WatchEvent.Delegated)
        submit(WatchEvent.CallCompleted(late, StoreResult.Values(listOf(removed("a", 20)), revision = 20)))
        assertTrue(effects.isEmpty() && "a" in watching.values)
        assertNull(reducer.nextTick(watching))
        submit(WatchEvent.Resumed)
        val call = assertIs<WatchEffect.Call>(effects.single())
        assertEquals(watching.revision, assertIs<StoreCommand.AwaitChange>(call.command).afterRevision)
    }

    @Test
    fun `Given a router that was told newer values, when its own wait ends with older ones, then nothing goes back`() {
        watch("a" to 2L)
        val newer = PrefixUpdate(null, revision = 30, mapOf("a" to "new"), emptySet(), emptyMap())
        submit(WatchEvent.PeerUpdateReceived(newer))
        answer(StoreResult.Values(listOf(removed("a", 20)), revision = 20))
        assertEquals(mapOf("a" to "new"), watching.values.toMap())
        assertEquals(30, watching.revision)
    }

    private fun watch(vararg values: Pair<String, Long>) {
        submit(WatchEvent.Started)
        answer(StoreResult.Values(values.map { (key, revision) -> written(key, revision) }, revision = 8))
    }

    private fun change(vararg items: StoredValue) =
        answer(StoreResult.Values(items.toList(), items.maxOf { it.revision }))

    /** Answers the next call, which may be made only after a pause. */
    private fun answer(result: StoreResult) {
        if (watching.phase is WatchState.Phase.Pausing) {
            now = maxOf(now, checkNotNull(reducer.nextTick(watching)))
            submit(WatchEvent.Tick)
        }
        submit(WatchEvent.CallCompleted(watching.callId, result))
    }

    private fun submit(event: WatchEvent) {
        val step = reducer.reduce(watching, event, now)
        watching = step.state
        effects = step.effects
    }

    private fun relay() {
        told = reducer.reduce(told, WatchEvent.PeerUpdateReceived(changes(watching, told.revision)), now).state
    }

    private fun changes(state: WatchState, since: Long) = assertNotNull(state.updateSince(since, now))

    private fun written(key: String, revision: Long) =
        StoredValue(key = key, value = "$key at $revision", createRevision = revision, revision = revision)

    private fun removed(key: String, revision: Long) =
        StoredValue(key = key, value = null, createRevision = 0, revision = revision)
}
