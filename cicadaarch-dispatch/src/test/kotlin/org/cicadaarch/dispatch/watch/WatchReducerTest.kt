package org.cicadaarch.dispatch.watch

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.cicadaarch.model.Timestamp
import org.cicadaarch.model.store.StoreCommand
import org.cicadaarch.model.store.StoreResult
import org.cicadaarch.model.store.StoredValue

class WatchReducerTest {
    private val reducer = WatchReducer(prefix = "targets/", removalGracePeriod = 2.seconds, minOutage = 600.milliseconds)
    private var state = WatchState()
    private var now = Timestamp(0)
    private var effects = emptyList<WatchEffect>()

    @Test
    fun `Given a first read in two pages, when both came, then all values are known and changes are awaited`() {
        submit(WatchEvent.Started)
        answer(StoreResult.Values(listOf(value("targets/a", 1)), revision = 5, hasMore = true))
        assertEquals("targets/a\u0000", assertIs<StoreCommand.ReadPrefix>(lastCall().command).from)
        answer(StoreResult.Values(listOf(value("targets/b", 2)), revision = 7))
        assertEquals(setOf("targets/a", "targets/b"), state.values.keys)
        assertEquals(5, assertIs<StoreCommand.AwaitChange>(lastCall().command).afterRevision)
    }

    @Test
    fun `Given a change, when it came, then the next call waits a moment for those that follow it`() {
        follow("a")
        submit(WatchEvent.CallCompleted(state.callId, deleted("targets/a", revision = 9)))
        assertTrue(effects.none { it is WatchEffect.Call })
        now = checkNotNull(reducer.nextTick(state))
        assertEquals(200.milliseconds, now - Timestamp(0))
        submit(WatchEvent.Tick)
        assertEquals(9, assertIs<StoreCommand.AwaitChange>(lastCall().command).afterRevision)
    }

    @Test
    fun `Given a known value, when it is deleted while the store is up, then it is gone at once`() {
        follow("a", "b")
        answer(deleted("targets/a", revision = 9))
        assertEquals(setOf("targets/b"), state.values.keys)
    }

    @Test
    fun `Given an outage, when it lasts, then no value is removed`() {
        follow("a")
        answer(StoreResult.Unanswered("silence"))
        now += 60.seconds
        submit(WatchEvent.Tick)
        assertEquals(setOf("targets/a"), state.values.keys)
        assertIs<WatchEffect.Call>(effects.last())
    }

    @Test
    fun `Given a value missing after an outage, when it does not come back, then it is gone after the settle time`() {
        follow("a", "b")
        loseAndRegain()
        answer(deleted("targets/a", revision = 9))
        assertEquals(setOf("targets/a", "targets/b"), state.values.keys)
        now += 2.seconds
        submit(WatchEvent.Tick)
        assertEquals(setOf("targets/b"), state.values.keys)
    }

    @Test
    fun `Given a value missing after an outage, when others change meanwhile, then it is gone after the settle time`() {
        follow("a", "b")
        loseAndRegain()
        answer(deleted("targets/a", revision = 9))
        now += 100.milliseconds
        answer(StoreResult.Values(listOf(value("targets/c", 10)), revision = 10))
        assertEquals(setOf("targets/a", "targets/b", "targets/c"), state.values.keys)
        now += 2.seconds
        submit(WatchEvent.Tick)
        assertEquals(setOf("targets/b", "targets/c"), state.values.keys)
    }

    @Test
    fun `Given a wait that was cut, when a value was deleted meanwhile, then it is gone at the next answer`() {
        follow("a", "b")
        answer(StoreResult.Unanswered("connection closed"))
        now += 100.milliseconds
        submit(WatchEvent.Tick)
        answer(deleted("targets/a", revision = 9))
        assertEquals(setOf("targets/b"), state.values.keys)
    }

    @Test
    fun `Given a wait that was cut, when the history is lost too, then what a full read lacks is gone`() {
        follow("a", "b")
        answer(StoreResult.Unanswered("connection closed"))
        now += 100.milliseconds
        submit(WatchEvent.Tick)
        answer(StoreResult.Compacted)
        answer(StoreResult.Values(listOf(value("targets/b", 2)), revision = 12))
        assertEquals(setOf("targets/b"), state.values.keys)
    }

    @Test
    fun `Given a call without an answer in time, when the next one is answered, then missing values are kept`() {
        follow("a", "b")
        answer(StoreResult.Unanswered("no answer in time", isTimeout = true))
        now += 100.milliseconds
        submit(WatchEvent.Tick)
        answer(deleted("targets/a", revision = 9))
        assertEquals(setOf("targets/a", "targets/b"), state.values.keys)
    }

    @Test
    fun `Given an outage, when the first wait after it is sent, then it ends soon, to tell when the store is back`() {
        follow("a")
        assertEquals(LONG_WAIT, assertIs<StoreCommand.AwaitChange>(lastCall().command).timeout)
        answer(StoreResult.Refused("busy"))
        now += 1.seconds
        submit(WatchEvent.Tick)
        assertTrue(assertIs<StoreCommand.AwaitChange>(lastCall().command).timeout <= 200.milliseconds)
        answer(StoreResult.Values(emptyList(), revision = 8))
        assertEquals(LONG_WAIT, assertIs<StoreCommand.AwaitChange>(lastCall().command).timeout)
    }

    @Test
    fun `Given a value missing after an outage, when it comes back, then it stays`() {
        follow("a", "b")
        loseAndRegain()
        answer(deleted("targets/a", revision = 9))
        answer(StoreResult.Values(listOf(value("targets/a", 10)), revision = 10))
        now += 3.seconds
        submit(WatchEvent.Tick)
        assertEquals(setOf("targets/a", "targets/b"), state.values.keys)
        assertTrue(state.expiring.isEmpty())
    }

    @Test
    fun `Given the history is lost, when a change is awaited, then everything is read again`() {
        follow("a", "b")
        answer(StoreResult.Compacted)
        assertIs<StoreCommand.ReadPrefix>(lastCall().command)
        answer(StoreResult.Values(listOf(value("targets/b", 2)), revision = 12))
        assertEquals(setOf("targets/b"), state.values.keys)
    }

    @Test
    fun `Given a late answer to an earlier call, when it comes, then it changes nothing`() {
        follow("a")
        val before = state
        submit(WatchEvent.CallCompleted(state.callId - 1, deleted("targets/a", revision = 9)))
        assertEquals(before, state)
    }

    @Test
    fun `Given a router that the store refuses, when another one has newer values, then they replace its own`() {
        follow("a", "b")
        answer(StoreResult.Refused("busy"))
        submit(WatchEvent.PeerUpdateReceived(all(mapOf("targets/b" to "new"), revision = 12)))
        assertEquals(mapOf("targets/b" to "new"), state.values.toMap())
        now += 1.seconds
        submit(WatchEvent.Tick)
        assertEquals(12, assertIs<StoreCommand.AwaitChange>(lastCall().command).afterRevision)
    }

    @Test
    fun `Given values, when another router relays older ones, then they are ignored`() {
        follow("a")
        submit(WatchEvent.PeerUpdateReceived(all(emptyMap(), revision = 8)))
        assertEquals(setOf("targets/a"), state.values.keys)
    }

    private fun all(values: Map<String, String>, revision: Long) = PrefixUpdate(
        baseRevision = null,
        revision = revision,
        values = values,
        removed = emptySet(),
        expiring = emptyMap(),
    )

    private fun follow(vararg names: String) {
        submit(WatchEvent.Started)
        answer(StoreResult.Values(names.mapIndexed { index, name -> value("targets/$name", index + 1L) }, revision = 8))
    }

    private fun loseAndRegain() {
        answer(StoreResult.Unanswered("silence"))
        now += 5.seconds
        submit(WatchEvent.Tick)
        answer(StoreResult.Values(emptyList(), revision = 8))
    }

    /** Answers the next call, which may be made only after a pause. */
    private fun answer(result: StoreResult) {
        if (state.phase is WatchState.Phase.Pausing) {
            now = maxOf(now, checkNotNull(reducer.nextTick(state)))
            submit(WatchEvent.Tick)
        }
        submit(WatchEvent.CallCompleted(state.callId, result))
    }

    private fun submit(event: WatchEvent) {
        val step = reducer.reduce(state, event, now)
        state = step.state
        effects = step.effects
    }

    private fun lastCall(): WatchEffect.Call = effects.filterIsInstance<WatchEffect.Call>().last()

    private fun value(key: String, revision: Long) =
        StoredValue(key = key, value = "value of $key", createRevision = revision, revision = revision)

    private fun deleted(key: String, revision: Long) = StoreResult.Values(
        values = listOf(StoredValue(key = key, value = null, createRevision = 0, revision = revision)),
        revision = revision,
    )

    private companion object {
        val LONG_WAIT = 10.seconds
    }
}
