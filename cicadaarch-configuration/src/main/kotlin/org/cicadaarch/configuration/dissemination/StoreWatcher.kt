package org.cicadaarch.configuration.dissemination

import kotlin.time.Duration
import org.cicadaarch.configuration.dissemination.ConfigurationEffect.CallStore
import org.cicadaarch.configuration.dissemination.ConfigurationEffect.Missing
import org.cicadaarch.configuration.dissemination.ConfigurationEffect.Parse
import org.cicadaarch.model.Revision
import org.cicadaarch.model.Step
import org.cicadaarch.model.Timestamp
import org.cicadaarch.model.store.StoreCommand
import org.cicadaarch.model.store.StoreResult
import org.cicadaarch.model.store.StoredValue

/**
 * Watches the store for new documents if this router is a watcher: one read, then one long-polling watch after another.
 *
 * Each watch starts at the revision of the last read or change, not where the previous watch ended, so that the next
 * watch delivers a change whose notification was lost. The document is read again only if a watch is refused, for
 * example because its start revision was compacted, or after every third consecutive failure.
 */
internal class StoreWatcher(private val settings: ConfigurationSettings) {
    /** Handles the timeout of the pending call, and starts the next call when it is due. */
    fun onTick(state: ConfigurationState, now: Timestamp): ConfigurationStep {
        val deadline = state.watch.deadline
        return when {
            deadline != null && deadline <= now -> Step(afterFailure(state, now, mustReload = false))
            deadline == null && state.isWatcher && state.watch.nextCallAt <= now -> startCall(state, now)
            else -> Step(state)
        }
    }

    /** Parses new documents in [result], even of a timed-out call; only the pending call changes the watch progress. */
    fun onCallCompleted(
        state: ConfigurationState,
        token: Long,
        result: StoreResult,
        now: Timestamp,
    ): ConfigurationStep {
        val isCurrent = state.watch.deadline != null && state.watch.token == token
        return when (result) {
            is StoreResult.Values -> onValues(state, result, isCurrent, now)
            is StoreResult.Refused -> Step(if (isCurrent) afterFailure(state, now, mustReload = true) else state)
            else -> Step(if (isCurrent) afterFailure(state, now, mustReload = false) else state)
        }
    }

    private fun startCall(state: ConfigurationState, now: Timestamp): ConfigurationStep {
        val knownRevision = state.watch.knownRevision
        val token = state.watch.token + 1
        val command = when (knownRevision) {
            null -> StoreCommand.Read(StoreKeys.FLEET_DOCUMENT)
            else -> StoreCommand.AwaitChange(StoreKeys.FLEET_DOCUMENT, knownRevision, settings.watchTimeout)
        }
        val grace = settings.responseGrace * (1 shl state.watch.failures.coerceAtMost(MAX_GRACE_DOUBLINGS))
        val timeout = if (knownRevision == null) grace else settings.watchTimeout + grace
        val watch = state.watch.copy(token = token, deadline = now + timeout)
        return Step(state.copy(watch = watch), listOf(CallStore(token, command)))
    }

    private fun onValues(
        state: ConfigurationState,
        result: StoreResult.Values,
        isCurrent: Boolean,
        now: Timestamp,
    ): ConfigurationStep {
        val changes = result.values.filter { it.key == StoreKeys.FLEET_DOCUMENT }
        val advanced = if (isCurrent) advance(state, result, now) else state
        val isEmptyRead = isCurrent && state.watch.knownRevision == null && changes.isEmpty()
        return when {
            isEmptyRead -> Step(advanced, listOf(Missing(Revision(result.version.revision))))
            else -> changes.sortedByDescending { it.revision }.fold(Step(advanced), ::applyChange)
        }
    }

    private fun advance(state: ConfigurationState, result: StoreResult.Values, now: Timestamp): ConfigurationState {
        val lastChange = result.values.maxOfOrNull { it.revision }
        val knownRevision = when (val before = state.watch.knownRevision) {
            null -> maxOf(result.version.revision, lastChange ?: 0)
            else -> maxOf(before, lastChange ?: 0)
        }
        return state.copy(
            watch = state.watch.copy(knownRevision = knownRevision, deadline = null, failures = 0, nextCallAt = now),
        )
    }

    private fun applyChange(step: ConfigurationStep, change: StoredValue): ConfigurationStep = step.then { state ->
        val revision = Revision(change.revision)
        val text = change.value
        when {
            text == null -> Step(state, listOf(Missing(revision)))
            !state.canInstall(revision) || revision in state.parsing -> Step(state)
            else -> Step(state.copy(parsing = state.parsing.add(revision)), listOf(Parse(revision, text)))
        }
    }

    private fun afterFailure(state: ConfigurationState, now: Timestamp, mustReload: Boolean): ConfigurationState {
        val failures = state.watch.failures + 1
        val reloads = mustReload || failures % FAILURES_BEFORE_RELOAD == 0
        val watch = state.watch.copy(
            failures = failures,
            deadline = null,
            knownRevision = state.watch.knownRevision.takeUnless { reloads },
            nextCallAt = now + backoff(state, failures),
        )
        return state.copy(watch = watch).withNextDraw()
    }

    private fun backoff(state: ConfigurationState, failures: Int): Duration {
        val doublings = (failures - 1).coerceAtMost(MAX_BACKOFF_DOUBLINGS)
        val maxDelay = (settings.minBackoff * (1 shl doublings)).coerceAtMost(settings.maxBackoff)
        return maxDelay * state.random(settings.seed).nextDouble(MIN_JITTER_FACTOR, 1.0)
    }

    private companion object {
        const val FAILURES_BEFORE_RELOAD = 3
        const val MAX_BACKOFF_DOUBLINGS = 10
        const val MAX_GRACE_DOUBLINGS = 3
        const val MIN_JITTER_FACTOR = 0.5
    }
}
