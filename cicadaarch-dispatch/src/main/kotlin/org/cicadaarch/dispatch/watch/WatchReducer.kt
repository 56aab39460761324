package org.cicadaarch.dispatch.watch

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.mutate
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentMap
import org.cicadaarch.dispatch.watch.WatchState.Phase
import org.cicadaarch.model.CallBudget
import org.cicadaarch.model.Step
import org.cicadaarch.model.Timestamp
import org.cicadaarch.model.store.StoreCommand
import org.cicadaarch.model.store.StoreResult
import org.cicadaarch.model.store.StoreVersion
import org.cicadaarch.model.store.StoredValue

/**
 * Keeps a copy of all values below [prefix] up to date: reads them once, then watches for changes.
 *
 * A store outage by itself removes no value. A value that disappeared during an outage is kept for
 * [removalGracePeriod] after the store has recovered, as its owner may be about to write it again. Failures that last
 * less than [minOutage] are no outage: no value expires in so short a time, so a missing one was removed by its owner.
 *
 * A value of more than [maxValueLength] characters, which only a faulty writer stores, is replaced by an empty one, so
 * that such values neither fill the memory nor the updates for other routers.
 *
 * A store that returns from an older copy is in a new era. The values are then read in full, and one that the copy
 * lacks is kept for [restorationGracePeriod], as its owner may be about to write it again, but no longer than for
 * [MAX_REWRITE_TIME] after the first write in the new era.
 *
 * An owner that removes its value relies on that being known within [maxRemovalAge], whatever the outage: a value that
 * may have been removed by its owner is kept no longer than that after the copy was last known to be up to date. If
 * that time is over when the outage ends, the owner relies on nothing any more, and the grace period counts alone.
 *
 * Changes that follow one within [batchingDelay] are received together. Whatever the store answers, no more calls are
 * sent than a [CallBudget] with this interval allows.
 *
 * After the first full read, the watch starts only after [firstWatchDelay]: most routers learn meanwhile that others
 * watch for them, and need no call for it.
 */
class WatchReducer(
    private val prefix: String,
    private val removalGracePeriod: Duration,
    private val minOutage: Duration,
    private val maxValueLength: Int = Int.MAX_VALUE,
    private val firstWatchDelay: Duration = Duration.ZERO,
    private val batchingDelay: Duration = DEFAULT_BATCHING_DELAY,
    private val restorationGracePeriod: Duration = removalGracePeriod,
    private val maxRemovalAge: Duration = Duration.INFINITE,
) {
    /** The state and the effects after [event] at [now]. */
    fun reduce(state: WatchState, event: WatchEvent, now: Timestamp): Step<WatchState, WatchEffect> = when (event) {
        WatchEvent.Started -> startFullRead(state, now)

        is WatchEvent.CallCompleted ->
            if (event.callId == state.callId) callCompleted(state, event.result, now) else Step(state)

        is WatchEvent.PeerUpdateReceived -> peerUpdateReceived(state, event.update, now)

        WatchEvent.Delegated -> delegated(state)

        WatchEvent.Resumed -> if (state.phase is Phase.Delegated) readOrAwaitChange(state, now) else Step(state)

        is WatchEvent.StoreUnresponsive -> storeUnresponsive(state, event.reason, now)

        is WatchEvent.EraObserved -> eraObserved(state, event.era, now)

        WatchEvent.CopyConfirmed -> Step(confirmed(state, now))

        WatchEvent.Tick -> tick(state, now)
    }

    /** When the next [WatchEvent.Tick] is due, or null if no timer is needed. */
    fun nextTick(state: WatchState): Timestamp? =
        listOfNotNull(pauseEnd(state.phase), state.expiring.values.minOrNull()).minOrNull()

    private fun pauseEnd(phase: Phase): Timestamp? = when (phase) {
        is Phase.Pausing -> phase.until
        is Phase.Deferred -> phase.until
        else -> null
    }

    private fun tick(state: WatchState, now: Timestamp): Step<WatchState, WatchEffect> {
        val expired = state.expiring.filterValues { it <= now }.keys
        val afterExpiry = if (expired.isEmpty()) {
            Step(state, emptyList())
        } else {
            val values = state.values.mutate { map -> expired.forEach { map.remove(it) } }
            val expiring = state.expiring.mutate { map -> expired.forEach { map.remove(it) } }
            Step(state.copy(values = values, expiring = expiring), listOf(WatchEffect.ValuesChanged(values)))
        }
        val phase = state.phase
        if (pauseEnd(phase).let { it == null || it > now }) return afterExpiry
        return when {
            phase is Phase.Deferred && phase.next is Phase.Reading -> afterExpiry.then {
                sendCall(it, phase.next, phase.command, now)
            }

            phase is Phase.Pausing && phase.needsFullRead -> afterExpiry.then { startFullRead(it, now) }

            else -> afterExpiry.then { readOrAwaitChange(it, now) }
        }
    }

    private fun callCompleted(state: WatchState, result: StoreResult, now: Timestamp): Step<WatchState, WatchEffect> {
        val phase = state.phase
        return when {
            result is StoreResult.Values && phase is Phase.Reading -> callSucceeded(state, now).then {
                pageReceived(it, phase, result, now)
            }.then { if (isReading(it)) Step(it) else Step(confirmed(it, now)) }

            result is StoreResult.Values && phase is Phase.Watching -> callSucceeded(state, now).then {
                changesReceived(it, result, now)
            }.then { if (isReading(it)) Step(it) else Step(confirmed(it, now)) }

            result is StoreResult.Compacted -> callSucceeded(state, now).then { startFullRead(it, now) }

            result is StoreResult.Refused -> callFailed(state, result.reason, now)

            result is StoreResult.Unanswered -> callFailed(state, result.reason, now, result.isTimeout)

            else -> callFailed(state, "unexpected answer $result", now)
        }
    }

    /** Whether a full read is in progress or about to start. */
    private fun isReading(state: WatchState): Boolean =
        state.phase is Phase.Reading || (state.phase as? Phase.Deferred)?.next is Phase.Reading

    private fun confirmed(state: WatchState, now: Timestamp): WatchState =
        if (maxRemovalAge.isInfinite()) state else state.copy(confirmedAt = now)

    /** The latest time up to which a value that is missing now may be kept, null if nothing bounds it. */
    private fun removalDeadline(state: WatchState, now: Timestamp): Timestamp? =
        state.confirmedAt?.let { it + maxRemovalAge }?.takeIf { it > now }

    /** Takes a new call id, so that the result of a pending call is ignored. */
    private fun delegated(state: WatchState): Step<WatchState, WatchEffect> = Step(
        state.copy(
            phase = Phase.Delegated,
            callId = state.callId + 1,
            failures = 0,
            failingSince = null,
            isConfirmed = false,
        ),
    )

    /** Gives up a waiting watch, whose result is ignored from now on. Other calls have a short timeout of their own. */
    private fun storeUnresponsive(state: WatchState, reason: String, now: Timestamp): Step<WatchState, WatchEffect> =
        when {
            state.phase is Phase.Watching -> callFailed(state.copy(callId = state.callId + 1), reason, now)
            else -> Step(state)
        }

    /** Watches from the copy, or reads it first if there is none of the store's era. */
    private fun readOrAwaitChange(state: WatchState, now: Timestamp): Step<WatchState, WatchEffect> {
        val isOfEra = state.version.isRead && state.version.era == state.era
        return if (isOfEra) awaitChange(state, now) else startFullRead(state, now)
    }

    /** Gives up an open call, whose result would be of an earlier era, and reads the contents of [era]. */
    private fun eraObserved(state: WatchState, era: Long, now: Timestamp): Step<WatchState, WatchEffect> {
        if (era <= state.era) return Step(state)
        val next = state.copy(era = era)
        val phase = state.phase
        return when {
            phase is Phase.Idle || phase is Phase.Delegated -> Step(next)
            phase is Phase.Reading && phase.version == null && !state.version.isRead -> Step(next)
            phase is Phase.Pausing -> Step(next.copy(phase = phase.copy(needsFullRead = true)))
            else -> startFullRead(next, now)
        }
    }

    /**
     * Applies [update] if it is newer than this router's copy and does not build on a version later than that copy.
     * That of a peer that does not know the store's era yet is not newer, whatever its revision. Values that the
     * contents of a new era lack are kept for [restorationGracePeriod].
     *
     * Values that the peer no longer has are removed even during an outage, as the peer learned of the removal from the
     * store. A pending watch is renewed, as it should have reported the change first: its connection may be silent.
     */
    private fun peerUpdateReceived(
        state: WatchState,
        update: PrefixUpdate,
        now: Timestamp,
    ): Step<WatchState, WatchEffect> {
        if (!isApplicable(state, update)) return Step(state)
        val isNewEra = state.version.isRead && update.version.era > state.version.era
        val kept = when {
            isNewEra -> state.values - update.values.keys
            update.baseVersion == null -> state.values.filterKeys { it in update.expiring }
            else -> state.values - update.removed
        }
        val values = (kept + update.values).toPersistentMap()
        val restored = if (isNewEra) restored(state, kept.keys, now) else state
        val next = restored.copy(
            values = values,
            expiring = mergeExpiring(restored, update, deadline = removalDeadline(state, now).takeIf { !isNewEra }, now)
                .filterKeys { it in kept.keys }
                .toPersistentMap(),
            version = update.version,
            era = maxOf(state.era, update.version.era),
            phase = phaseAfterUpdate(state, isNewEra),
            changeLog = state.changeLog.withPeerUpdate(update),
        )
        val effects = if (values == state.values) emptyList() else listOf(WatchEffect.ValuesChanged(values))
        return Step(next, effects).then { if (it.phase is Phase.Watching) awaitChange(it, now) else Step(it) }
    }

    private fun isApplicable(state: WatchState, update: PrefixUpdate): Boolean {
        val base = update.baseVersion
        val isOfKnownEra = update.version.era >= state.era || !state.version.isRead
        val isNewer = update.version > state.version && isOfKnownEra
        return isNewer && (base == null || (base.era == state.version.era && base <= state.version))
    }

    /** A full read that has not begun is not needed any more for the contents of a new era. */
    private fun phaseAfterUpdate(state: WatchState, isNewEra: Boolean): Phase {
        val phase = state.phase
        return if (isNewEra && phase is Phase.Pausing) phase.copy(needsFullRead = false) else phase
    }

    /**
     * [state] after the store has returned from an older copy, which lacks [missing]. Their owners have the whole time
     * to write them again, also if they expired already: the store may have returned twice.
     */
    private fun restored(state: WatchState, missing: Set<String>, now: Timestamp): WatchState = state.copy(
        expiring = missing.associateWith { now + restorationGracePeriod }.toPersistentMap(),
        recoveredAt = now,
    )

    /**
     * The keys that expire after [update], each at the earlier of the times that this router and the peer know. A peer
     * that removed a key before the base of its update does not mention it, so only a new value ends an expiry. The
     * peer may have been cut off for longer than this router, so it is kept no longer than up to [deadline].
     */
    private fun mergeExpiring(
        state: WatchState,
        update: PrefixUpdate,
        deadline: Timestamp?,
        now: Timestamp,
    ): Map<String, Timestamp> {
        val before = state.expiring - update.values.keys
        val atPeer = update.expiring.mapValues { (key, timeLeft) ->
            listOfNotNull(now + timeLeft, before[key], deadline).min()
        }
        return before + atPeer
    }

    private fun callSucceeded(state: WatchState, now: Timestamp): Step<WatchState, WatchEffect> {
        val failingSince = state.failingSince ?: return Step(state.copy(isConfirmed = true))
        val recoveredAt = if (now - failingSince >= minOutage) now else state.recoveredAt
        val next = state.copy(failures = 0, failingSince = null, recoveredAt = recoveredAt, isConfirmed = true)
        return Step(next, listOf(WatchEffect.StoreRegained))
    }

    /** Schedules a retry with exponential backoff. A first failure by timeout counts as an outage of [minOutage]. */
    private fun callFailed(
        state: WatchState,
        reason: String,
        now: Timestamp,
        isTimeout: Boolean = false,
    ): Step<WatchState, WatchEffect> {
        val doublings = state.failures.coerceAtMost(MAX_BACKOFF_DOUBLINGS)
        val backoff = (INITIAL_BACKOFF * (1 shl doublings)).coerceAtMost(MAX_BACKOFF)
        val needsFullRead = state.phase !is Phase.Watching || state.version.era != state.era
        val failingSince = state.failingSince ?: if (isTimeout) now - minOutage else now
        val next = state.copy(
            phase = Phase.Pausing(now + backoff, needsFullRead),
            failures = state.failures + 1,
            failingSince = failingSince,
        )
        return Step(next, if (state.failures == 0) listOf(WatchEffect.StoreLost(reason)) else emptyList())
    }

    private fun startFullRead(state: WatchState, now: Timestamp): Step<WatchState, WatchEffect> =
        sendCall(state, Phase.Reading(emptyMap(), version = null, copyVersion = state.version), readPage(prefix), now)

    private fun pageReceived(
        state: WatchState,
        phase: Phase.Reading,
        page: StoreResult.Values,
        now: Timestamp,
    ): Step<WatchState, WatchEffect> {
        val valuesRead =
            phase.valuesRead + page.values.mapNotNull { item -> acceptedValue(item)?.let { item.key to it } }
        val version = phase.version ?: page.version
        if (page.version.era != maxOf(version.era, state.era)) return startFullRead(state, now)
        val lastKey = page.values.lastOrNull()?.key
        if (page.hasMore && lastKey != null) {
            val next = Phase.Reading(valuesRead, version, phase.copyVersion)
            return sendCall(state, next, readPage(lastKey + KEY_SUCCESSOR_SUFFIX), now)
        }
        val isOutdated = version < state.version && phase.copyVersion != state.version
        if (isOutdated) return readOrAwaitChange(state, now)
        return readCompleted(state, valuesRead, version, now)
    }

    private fun readCompleted(
        state: WatchState,
        values: Map<String, String>,
        version: StoreVersion,
        now: Timestamp,
    ): Step<WatchState, WatchEffect> {
        val isFirstRead = !state.version.isRead
        val isNewEra = !isFirstRead && version.era > state.version.era
        val missing = state.values.keys - values.keys
        val before = if (isNewEra) restored(state, missing, now) else state
        return replaceValues(before, values, now).then {
            val read = it.copy(
                version = version,
                era = maxOf(state.era, version.era),
                changeLog = ChangeLog.ofFullRead(values.keys, version),
            )
            val isDelayed = isFirstRead && firstWatchDelay.isPositive()
            if (isDelayed) Step(read.copy(phase = pausing(now + firstWatchDelay))) else awaitChange(read, now)
        }
    }

    private fun pausing(until: Timestamp) = Phase.Pausing(until, needsFullRead = false)

    private fun changesReceived(
        state: WatchState,
        result: StoreResult.Values,
        now: Timestamp,
    ): Step<WatchState, WatchEffect> {
        val isOfCopy = result.version.era == state.version.era && result.version >= state.version
        if (!isOfCopy) return startFullRead(state, now)
        val values = (state.values - state.expiring.keys).toMutableMap()
        var changeLog = state.changeLog
        val changes = result.values.filter { it.version > state.version }.sortedBy { it.version }
        changes.forEach { item: StoredValue ->
            val value = acceptedValue(item)
            if (value == null) values.remove(item.key) else values[item.key] = value
            changeLog = if (value == null) {
                changeLog.withRemoval(item.key, item.version)
            } else {
                changeLog.withWrite(item.key, item.version)
            }
        }
        val next = state.copy(version = maxOf(state.version, result.version), changeLog = changeLog)
        if (changes.isEmpty()) return awaitChange(next, now)
        val isWritten = changes.any { it.value != null }
        val heard = if (isWritten) ownersHeard(next, now) else next
        val changed = changes.mapTo(HashSet()) { it.key }
        val pausing = heard.copy(
            phase = pausing(now + batchingDelay),
            expiring = heard.expiring.filterKeys { it !in changed }.toPersistentMap(),
        )
        return replaceValues(pausing, values, now)
    }

    /** Owners that write have soon written again what they still want: what is missing then has ended. */
    private fun ownersHeard(state: WatchState, now: Timestamp): WatchState {
        val latest = now + MAX_REWRITE_TIME
        if (state.expiring.values.none { it > latest }) return state
        return state.copy(expiring = state.expiring.mapValues { minOf(it.value, latest) }.toPersistentMap())
    }

    /**
     * Replaces the values by [current]. Keeps missing ones that expire later, and those that disappear before the grace
     * period after an outage is over.
     */
    private fun replaceValues(
        state: WatchState,
        current: Map<String, String>,
        now: Timestamp,
    ): Step<WatchState, WatchEffect> {
        val graceEndsAt = state.recoveredAt?.let { recoveredAt ->
            listOfNotNull(recoveredAt + removalGracePeriod, removalDeadline(state, now)).min()
        }
        val expiring = (state.values.keys - current.keys)
            .mapNotNull { key -> (state.expiring[key] ?: graceEndsAt)?.let { key to it } }
            .filter { (_, expiresAt) -> expiresAt > now }
            .toMap()
        val kept = expiring.keys
        val values = (current + kept.associateWith { state.values.getValue(it) }).toPersistentMap()
        val next = state.copy(values = values, expiring = expiring.toPersistentMap())
        return Step(next, if (values == state.values) emptyList() else listOf(WatchEffect.ValuesChanged(values)))
    }

    /**
     * At first and after a failure the timeout is short, as the store is known to serve this router only when the call
     * returns.
     */
    private fun awaitChange(state: WatchState, now: Timestamp): Step<WatchState, WatchEffect> {
        val timeout = when {
            state.failures > 0 -> RECOVERY_WATCH_TIMEOUT
            state.isConfirmed -> WATCH_TIMEOUT
            else -> FIRST_WATCH_TIMEOUT
        }
        return sendCall(state, Phase.Watching, StoreCommand.AwaitChange(prefix, state.version, timeout), now)
    }

    private fun acceptedValue(item: StoredValue): String? =
        item.value?.let { if (it.length > maxValueLength) "" else it }

    private fun readPage(fromKey: String) = StoreCommand.ReadPrefix(prefix = prefix, from = fromKey, limit = PAGE_SIZE)

    /** Sends [command] when the call budget allows. An open call is given up. */
    private fun sendCall(
        state: WatchState,
        phase: Phase,
        command: StoreCommand,
        now: Timestamp,
    ): Step<WatchState, WatchEffect> {
        val callId = state.callId + 1
        val sendAt = state.callBudget.nextCallAt(now, batchingDelay)
        if (sendAt > now) return Step(state.copy(phase = Phase.Deferred(sendAt, phase, command), callId = callId))
        val next = state.copy(
            phase = phase,
            callId = callId,
            callBudget = state.callBudget.afterCall(now, batchingDelay),
        )
        return Step(next, listOf(WatchEffect.Call(callId, command)))
    }

    private fun Step<WatchState, WatchEffect>.then(
        next: (WatchState) -> Step<WatchState, WatchEffect>,
    ): Step<WatchState, WatchEffect> {
        val after = next(state)
        return Step(after.state, effects + after.effects)
    }

    companion object {
        /** Pause after a change, so that several changes in quick succession take one call. */
        val DEFAULT_BATCHING_DELAY = 200.milliseconds

        /** Owners write their values again within this time after the first of them did. */
        val MAX_REWRITE_TIME = 3.seconds
        private val INITIAL_BACKOFF = 100.milliseconds
        private val MAX_BACKOFF = 800.milliseconds
        private const val MAX_BACKOFF_DOUBLINGS = 3
        private val WATCH_TIMEOUT = 10.seconds
        private val RECOVERY_WATCH_TIMEOUT = 200.milliseconds

        /** As short as a watch can be: only that the store answers it counts. */
        private val FIRST_WATCH_TIMEOUT = 1.milliseconds

        private const val PAGE_SIZE = 500

        /** Appended to a key, it gives the smallest key that sorts after it. */
        private const val KEY_SUCCESSOR_SUFFIX = "\u0000"
    }
}
