package org.cicadaarch.control

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.cicadaarch.configuration.dissemination.StoreKeys
import org.cicadaarch.model.store.ExpectedState
import org.cicadaarch.model.store.StoreCommand
import org.cicadaarch.model.store.StoreResult
import org.cicadaarch.model.store.StoredValue
import org.cicadaarch.store.Store

/**
 * Reads and writes the fleet document in the platform's [store]. Each call is attempted up to [attempts] times, with a
 * [pause] in between.
 *
 * A write whose response is lost is retried with the same expected revision. If that fails with a conflict, the store's
 * history after that revision shows whether the lost write took effect.
 */
class FleetStore(
    store: Store,
    timeout: Duration = CALL_TIMEOUT,
    private val attempts: Int = ATTEMPTS,
    private val pause: Duration = PAUSE,
) {
    private val caller = StoreCaller(store, timeout)

    /** Reads the document; null if there is none. */
    fun read(): Either<ControlError, StoredDocument?> {
        var reason = ""
        repeat(attempts) { attempt ->
            if (attempt > 0) pauseBeforeRetry()
            val result = caller.call(StoreCommand.Read(StoreKeys.FLEET_DOCUMENT))
            if (result is StoreResult.Values) return documentOf(result.values.firstOrNull()).right()
            reason = reasonOf(result)
        }
        return ControlError.Unreachable(STORE, reason).left()
    }

    /** Writes [text] if the document is at [expected], 0 if there is none. Returns the revision of the write. */
    fun write(text: String, expected: Long): Either<ControlError, Long> {
        val command = StoreCommand.CompareAndSet(StoreKeys.FLEET_DOCUMENT, expectedState(expected), text)
        var mayHaveRun = false
        var reason = ""
        repeat(attempts) { attempt ->
            if (attempt > 0) pauseBeforeRetry()
            when (val result = caller.call(command)) {
                is StoreResult.Written -> return result.version.revision.right()

                is StoreResult.Conflict -> return when {
                    mayHaveRun -> resolveLostWrite(text, expected, result.current)
                    else -> conflict(expected, result.current).left()
                }

                else -> {
                    mayHaveRun = mayHaveRun || result is StoreResult.Unanswered
                    reason = reasonOf(result)
                }
            }
        }
        return if (mayHaveRun) ControlError.Unsettled(reason).left() else ControlError.Unreachable(STORE, reason).left()
    }

    /** Returns the documents from [revision] to [last] in order, without those that the store no longer keeps. */
    fun historyFrom(revision: Long, last: StoredDocument): List<StoredDocument> {
        val earlier = changesAfter(revision - 1).mapNotNull(::documentOf).filter { it.revision < last.revision }
        return earlier + last
    }

    private fun resolveLostWrite(text: String, expected: Long, current: StoredValue?): Either<ControlError, Long> {
        if (current?.value == text) return current.revision.right()
        // Only one write can follow the expected revision directly.
        val next = changesAfter(expected).firstOrNull()
        return when {
            next == null -> ControlError.Unsettled("the store keeps no history after revision $expected").left()
            next.value == text -> next.revision.right()
            else -> conflict(expected, current).left()
        }
    }

    private fun changesAfter(revision: Long): List<StoredValue> {
        val history = caller.call(StoreCommand.AwaitChange(StoreKeys.FLEET_DOCUMENT, revision, HISTORY_TIMEOUT))
        return (history as? StoreResult.Values)?.values.orEmpty()
            .filter { it.key == StoreKeys.FLEET_DOCUMENT }
            .sortedBy { it.revision }
    }

    private fun conflict(expected: Long, current: StoredValue?) =
        ControlError.Conflict(expected = expected, current = documentOf(current))

    private fun documentOf(value: StoredValue?): StoredDocument? =
        value?.value?.let { StoredDocument(value.revision, it) }

    private fun expectedState(revision: Long): ExpectedState =
        if (revision == 0L) ExpectedState.Absent else ExpectedState.AtVersion(revision)

    private fun reasonOf(result: StoreResult): String = when (result) {
        is StoreResult.Refused -> result.reason
        is StoreResult.Unanswered -> result.reason
        else -> "unexpected result: $result"
    }

    private fun pauseBeforeRetry() = Thread.sleep(pause.inWholeMilliseconds)

    private companion object {
        const val STORE = "store"
        const val ATTEMPTS = 6
        val PAUSE = 500.milliseconds
        val CALL_TIMEOUT = 5.seconds
        val HISTORY_TIMEOUT = 1.seconds
    }
}
