package org.cicadaarch.dispatch.watch

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.mutate
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentMap
import org.cicadaarch.dispatch.watch.WatchState.Phase
import org.cicadaarch.model.Step
import org.cicadaarch.model.Timestamp
import org.cicadaarch.model.store.StoreCommand
import org.cicadaarch.model.store.StoreResult
import org.cicadaarch.model.store.StoredValue

/**
 * Keeps a copy of all values below [prefix] up to date: reads them once, then waits for changes.
 *
 * An outage of the store removes no value. A value that vanished during an outage is kept until [settleTime] after the
 * store's return, since its owner may be about to write it again. Failures for less than [shortestOutage] are no
 * outage: no value lapses in so short a time, so what vanished was removed.
 */
class WatchReducer(
    private val prefix: String,
    private val settleTime: Duration,
    private val shortestOutage: Duration,
) {
    /** The state and the effects after [event] at [now]. */
    fun reduce(state: WatchState, event: WatchEvent, now: Timestamp): Step<WatchState, WatchEffect> = when (event) {
        WatchEvent.Started -> read(state)

        is WatchEvent.CallCompleted ->
            if (event.callId == state.callId) answered(state, event.result, now) else Step(state)

        is WatchEvent.PeerUpdateReceived -> relayed(state, event.update, now)

        WatchEvent.Delegated -> delegated(state)

        WatchEvent.Resumed -> resumed(state)

        WatchEvent.Tick -> tick(state, now)
    }

    /** When the next [WatchEvent.Tick] is due, or null when only the store is waited for. */
    fun nextTick(state: WatchState): Timestamp? =
        listOfNotNull((state.phase as? Phase.Pausing)?.until, state.missing.values.minOrNull()).minOrNull()

    private fun tick(state: WatchState, now: Timestamp): Step<WatchState, WatchEffect> {
        val gone = state.missing.filterValues { it <= now }.keys
        val settled = if (gone.isEmpty()) {
            Step(state, emptyList())
        } else {
            val values = state.values.mutate { map -> gone.forEach { map.remove(it) } }
            val missing = state.missing.mutate { map -> gone.forEach { map.remove(it) } }
            Step(state.copy(values = values, missing = missing), listOf(WatchEffect.ValuesChanged(values)))
        }
        val phase = state.phase
        if (phase !is Phase.Pausing || phase.until > now) return settled
        return settled.then { if (phase.isReading) read(it) else watch(it) }
    }

    private fun answered(state: WatchState, result: StoreResult, now: Timestamp): Step<WatchState, WatchEffect> {
        val phase = state.phase
        return when {
            result is StoreResult.Values && phase is Phase.Reading -> regained(state, now).then {
                pageRead(it, phase, result, now)
            }

            result is StoreResult.Values && phase is Phase.Watching -> regained(state, now).then {
                changed(it, result, now)
            }

            result is StoreResult.Compacted -> regained(state, now).then { read(it) }

            result is StoreResult.Refused -> failed(state, result.reason, now)

            result is StoreResult.Unanswered -> failed(state, result.reason, now, result.isTimeout)

            else -> failed(state, "unexpected answer $result", now)
        }
    }

    /** A late answer to a call before is ignored, as the calls are numbered. */
    private fun delegated(state: WatchState): Step<WatchState, WatchEffect> = Step(
        state.copy(phase = Phase.Delegated, callId = state.callId + 1, failures = 0, failingSince = null),
    )

    private fun resumed(state: WatchState): Step<WatchState, WatchEffect> = when {
        state.phase !is Phase.Delegated -> Step(state)
        state.revision == 0L -> read(state)
        else -> watch(state)
    }

    /** The other router was told by the store, so what it lacks is gone. A call that is under way goes on. */
    private fun relayed(state: WatchState, changes: PrefixUpdate, now: Timestamp): Step<WatchState, WatchEffect> {
        val since = changes.baseRevision
        if (changes.revision <= state.revision || (since != null && since > state.revision)) return Step(state)
        val settling = changes.expiring.filterKeys { it in state.values }
        val kept = if (since == null) state.values.filterKeys { it in settling } else state.values - changes.removed
        val values = (kept + changes.values).toPersistentMap()
        val log = if (since == null) {
            ChangeLog.startingWith(changes.values.keys, changes.revision)
        } else {
            val written = changes.values.keys.fold(state.log) { log, key -> log.written(key, changes.revision) }
            changes.removed.fold(written) { log, key -> log.removed(key, changes.revision) }
        }
        val missing = settling.mapValues { (_, left) -> now + left }.toPersistentMap()
        val next = state.copy(values = values, missing = missing, revision = changes.revision, log = log)
        return Step(next, if (values == state.values) emptyList() else listOf(WatchEffect.ValuesChanged(values)))
    }

    private fun regained(state: WatchState, now: Timestamp): Step<WatchState, WatchEffect> {
        val since = state.failingSince ?: return Step(state)
        val regainedAt = if (now - since >= shortestOutage) now else state.regainedAt
        val next = state.copy(failures = 0, failingSince = null, regainedAt = regainedAt)
        return Step(next, listOf(WatchEffect.StoreRegained))
    }

    private fun failed(
        state: WatchState,
        reason: String,
        now: Timestamp,
        isSilence: Boolean = false,
    ): Step<WatchState, WatchEffect> {
        val pause = (FIRST_PAUSE * (1 shl state.failures.coerceAtMost(MOST_DOUBLINGS))).coerceAtMost(LONGEST_PAUSE)
        val isReading = state.phase !is Phase.Watching
        val since = state.failingSince ?: if (isSilence) now - shortestOutage else now
        val next = state.copy(
            phase = Phase.Pausing(now + pause, isReading),
            failures = state.failures + 1,
            failingSince = since,
        )
        return Step(next, if (state.failures == 0) listOf(WatchEffect.StoreLost(reason)) else emptyList())
    }

    private fun read(state: WatchState): Step<WatchState, WatchEffect> =
        call(state, Phase.Reading(read = emptyMap(), revision = null), pageFrom(prefix))

    private fun pageRead(
        state: WatchState,
        phase: Phase.Reading,
        page: StoreResult.Values,
        now: Timestamp,
    ): Step<WatchState, WatchEffect> {
        val read = phase.read + page.values.mapNotNull { item -> item.value?.let { item.key to it } }
        val revision = phase.revision ?: page.revision
        val last = page.values.lastOrNull()?.key
        if (page.hasMore && last != null) {
            return call(state, Phase.Reading(read, revision), pageFrom(last + AFTER_KEY))
        }
        if (revision < state.revision) return watch(state)
        val log = ChangeLog.startingWith(read.keys, revision)
        return replaced(state, read, now).then { watch(it.copy(revision = revision, log = log)) }
    }

    private fun changed(state: WatchState, result: StoreResult.Values, now: Timestamp): Step<WatchState, WatchEffect> {
        val values = (state.values - state.missing.keys).toMutableMap()
        var log = state.log
        val changes = result.values.filter { it.revision > state.revision }.sortedBy { it.revision }
        changes.forEach { item: StoredValue ->
            val value = item.value
            if (value == null) values.remove(item.key) else values[item.key] = value
            log = if (value == null) log.removed(item.key, item.revision) else log.written(item.key, item.revision)
        }
        val next = state.copy(revision = maxOf(state.revision, result.revision), log = log)
        if (changes.isEmpty()) return watch(next)
        val pausing = next.copy(phase = Phase.Pausing(now + GATHERING_TIME, isReading = false))
        return replaced(pausing, values, now)
    }

    private fun replaced(
        state: WatchState,
        found: Map<String, String>,
        now: Timestamp,
    ): Step<WatchState, WatchEffect> {
        val settledAt = state.regainedAt?.plus(settleTime)
        val lost = state.values.keys - found.keys
        val kept = if (settledAt != null && now < settledAt) lost else emptySet()
        val missing = kept.associateWith { state.missing[it] ?: checkNotNull(settledAt) }
        val values = (found + kept.associateWith { state.values.getValue(it) }).toPersistentMap()
        val next = state.copy(values = values, missing = missing.toPersistentMap())
        return Step(next, if (values == state.values) emptyList() else listOf(WatchEffect.ValuesChanged(values)))
    }

    /** After a failure the wait is short, as its end shows that the store is back. */
    private fun watch(state: WatchState): Step<WatchState, WatchEffect> {
        val time = if (state.failures == 0) WATCH_TIME else PROBE_TIME
        return call(state, Phase.Watching, StoreCommand.AwaitChange(prefix, state.revision, time))
    }

    private fun pageFrom(key: String) = StoreCommand.ReadPrefix(prefix = prefix, from = key, limit = PAGE_SIZE)

    private fun call(state: WatchState, phase: Phase, command: StoreCommand): Step<WatchState, WatchEffect> {
        val callId = state.callId + 1
        return Step(state.copy(phase = phase, callId = callId), listOf(WatchEffect.Call(callId, command)))
    }

    private fun Step<WatchState, WatchEffect>.then(
        next: (WatchState) -> Step<WatchState, WatchEffect>,
    ): Step<WatchState, WatchEffect> {
        val after = next(state)
        return Step(after.state, effects + after.effects)
    }

    private companion object {
        val FIRST_PAUSE = 100.milliseconds
        val LONGEST_PAUSE = 800.milliseconds
        const val MOST_DOUBLINGS = 3
        val WATCH_TIME = 10.seconds
        val PROBE_TIME = 200.milliseconds

        /** Changes that follow each other within this time cost one call. */
        val GATHERING_TIME = 200.milliseconds
        const val PAGE_SIZE = 500

        /** The least text that makes a key the next one after another. */
        const val AFTER_KEY = "\u0000"
    }
}
