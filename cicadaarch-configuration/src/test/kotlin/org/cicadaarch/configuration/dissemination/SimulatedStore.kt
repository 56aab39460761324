package org.cicadaarch.configuration.dissemination

import kotlin.random.Random
import org.cicadaarch.model.store.ExpectedState
import org.cicadaarch.model.store.StoreCommand
import org.cicadaarch.model.store.StoreResult
import org.cicadaarch.model.store.StoredValue

/**
 * The store with its one key: history, watches, outages, lost answers and lost notices of changes.
 */
class SimulatedStore(private val clock: VirtualClock, private val random: Random) {
    private val history = mutableListOf<StoredValue>()
    private val watches = mutableListOf<Watch>()
    private var storeRevision = FIRST_REVISION
    private var compactedUpTo = 0L
    var isDown = false
    var lostAnswers = 0.0
    var lostNotices = 0.0
    var calls = 0
        private set
    val current: StoredValue? get() = history.lastOrNull()

    /** A write of another key: the store's revision moves on. */
    fun writeElsewhere() {
        storeRevision++
    }

    fun compact() {
        compactedUpTo = storeRevision
    }

    fun write(expected: ExpectedState, value: String): StoreResult {
        val isAsExpected = when (expected) {
            ExpectedState.Absent -> current == null
            is ExpectedState.AtRevision -> current?.revision == expected.revision
        }
        if (!isAsExpected) return StoreResult.Conflict(current)
        val created = history.firstOrNull()?.createRevision ?: (storeRevision + 1)
        history += StoredValue(StoreKeys.FLEET_DOCUMENT, value, createRevision = created, revision = ++storeRevision)
        watches.toList().filter { random.nextDouble() >= lostNotices }.forEach { notify(it) }
        return StoreResult.Written(storeRevision)
    }

    fun execute(command: StoreCommand, onResult: (StoreResult) -> Unit) {
        calls++
        clock.after(latency()) {
            when {
                isDown -> answer(onResult, StoreResult.Refused("down"))

                command is StoreCommand.Read -> answer(
                    onResult,
                    StoreResult.Values(listOfNotNull(current), storeRevision),
                )

                command is StoreCommand.AwaitChange -> watch(Watch(command, onResult))

                else -> error("routers send no $command")
            }
        }
    }

    private fun watch(watch: Watch) {
        val after = watch.command.afterRevision
        if (after < compactedUpTo) return answer(watch.onResult, StoreResult.Refused("compacted"))
        watches += watch
        if (changesAfter(after).isNotEmpty()) return notify(watch)
        clock.after(watch.command.timeout.inWholeMilliseconds) {
            if (watches.remove(watch)) answer(watch.onResult, StoreResult.Values(emptyList(), after))
        }
    }

    private fun notify(watch: Watch) {
        watches.remove(watch)
        val changes = changesAfter(watch.command.afterRevision)
        answer(watch.onResult, StoreResult.Values(changes, changes.maxOf { it.revision }))
    }

    private fun changesAfter(revision: Long) = history.filter { it.revision > revision }

    private fun answer(onResult: (StoreResult) -> Unit, result: StoreResult) {
        if (random.nextDouble() >= lostAnswers) clock.after(latency()) { onResult(result) }
    }

    private fun latency() = random.nextLong(1, 6)

    private class Watch(val command: StoreCommand.AwaitChange, val onResult: (StoreResult) -> Unit)

    private companion object {
        const val FIRST_REVISION = 100L
    }
}
