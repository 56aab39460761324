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
 * Keeps a watcher's call at the store: one reading, then one watch after the other.
 *
 * Each watch starts from the last reading or change, not from the end of the one before, so that a change whose
 * notice was lost is delivered by the next watch. The document itself is read again only when a watch is refused.
 */
internal class StoreWatcher(private val settings: ConfigurationSettings) {
    /** Gives up an overdue call and sends the next one that is due. */
    fun tick(state: ConfigurationState, now: Timestamp): ConfigurationStep {
        val deadline = state.watch.deadline
        return when {
            deadline != null && deadline <= now -> Step(failed(state, now, mustRead = false))
            deadline == null && state.isWatcher && state.watch.nextCallAt <= now -> call(state, now)
            else -> Step(state)
        }
    }

    /** Takes the documents in [result]; only the answer to the outstanding call moves the watch on. */
    fun answered(state: ConfigurationState, token: Long, result: StoreResult, now: Timestamp): ConfigurationStep {
        val isCurrent = state.watch.deadline != null && state.watch.token == token
        return when (result) {
            is StoreResult.Values -> valuesCame(state, result, isCurrent, now)
            is StoreResult.Refused -> Step(if (isCurrent) failed(state, now, mustRead = true) else state)
            else -> Step(if (isCurrent) failed(state, now, mustRead = false) else state)
        }
    }

    private fun call(state: ConfigurationState, now: Timestamp): ConfigurationStep {
        val knownRevision = state.watch.knownRevision
        val token = state.watch.token + 1
        val command = when (knownRevision) {
            null -> StoreCommand.Read(StoreKeys.FLEET_DOCUMENT)
            else -> StoreCommand.AwaitChange(StoreKeys.FLEET_DOCUMENT, knownRevision, settings.watchTimeout)
        }
        val grace = settings.responseGrace * (1 shl state.watch.failures.coerceAtMost(MAX_GRACE_DOUBLINGS))
        val allowed = if (knownRevision == null) grace else settings.watchTimeout + grace
        val watch = state.watch.copy(token = token, deadline = now + allowed)
        return Step(state.copy(watch = watch), listOf(CallStore(token, command)))
    }

    private fun valuesCame(
        state: ConfigurationState,
        result: StoreResult.Values,
        isCurrent: Boolean,
        now: Timestamp,
    ): ConfigurationStep {
        val changes = result.values.filter { it.key == StoreKeys.FLEET_DOCUMENT }
        val moved = if (isCurrent) movedOn(state, result, now) else state
        val isEmptyReading = isCurrent && state.watch.knownRevision == null && changes.isEmpty()
        return when {
            isEmptyReading -> Step(moved, listOf(Missing(Revision(result.revision))))
            else -> changes.sortedByDescending { it.revision }.fold(Step(moved), ::changed)
        }
    }

    private fun movedOn(state: ConfigurationState, result: StoreResult.Values, now: Timestamp): ConfigurationState {
        val lastChange = result.values.maxOfOrNull { it.revision }
        val knownRevision = when (val before = state.watch.knownRevision) {
            null -> maxOf(result.revision, lastChange ?: 0)
            else -> maxOf(before, lastChange ?: 0)
        }
        return state.copy(
            watch = state.watch.copy(knownRevision = knownRevision, deadline = null, failures = 0, nextCallAt = now),
        )
    }

    private fun changed(step: ConfigurationStep, change: StoredValue): ConfigurationStep = step.then { state ->
        val revision = Revision(change.revision)
        val text = change.value
        when {
            text == null -> Step(state, listOf(Missing(revision)))
            !state.canInstall(revision) || revision in state.parsing -> Step(state)
            else -> Step(state.copy(parsing = state.parsing.add(revision)), listOf(Parse(revision, text)))
        }
    }

    private fun failed(state: ConfigurationState, now: Timestamp, mustRead: Boolean): ConfigurationState {
        val failures = state.watch.failures + 1
        val isStuck = mustRead || failures % FAILURES_BEFORE_RELOAD == 0
        val watch = state.watch.copy(
            failures = failures,
            deadline = null,
            knownRevision = state.watch.knownRevision.takeUnless { isStuck },
            nextCallAt = now + backoff(state, failures),
        )
        return state.copy(watch = watch).withNextDraw()
    }

    private fun backoff(state: ConfigurationState, failures: Int): Duration {
        val doublings = (failures - 1).coerceAtMost(MAX_BACKOFF_DOUBLINGS)
        val full = (settings.minBackoff * (1 shl doublings)).coerceAtMost(settings.maxBackoff)
        return full * state.random(settings.seed).nextDouble(MIN_JITTER_FACTOR, 1.0)
    }

    private companion object {
        const val FAILURES_BEFORE_RELOAD = 3
        const val MAX_BACKOFF_DOUBLINGS = 10
        const val MAX_GRACE_DOUBLINGS = 3
        const val MIN_JITTER_FACTOR = 0.5
    }
}
