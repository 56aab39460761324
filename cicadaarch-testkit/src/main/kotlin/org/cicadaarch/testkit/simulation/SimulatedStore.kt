package org.cicadaarch.testkit.simulation

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import org.cicadaarch.model.store.ExpectedState
import org.cicadaarch.model.store.StoreCommand
import org.cicadaarch.model.store.StoreResult
import org.cicadaarch.model.store.StoredValue

/**
 * The platform's key-value service in virtual time: reads and conditional writes, outages and lost answers.
 *
 * One that [ignoresConditions] writes always, which a correct store never does.
 */
class SimulatedStore(
    private val clock: VirtualClock,
    private val random: Random,
    private val ignoresConditions: Boolean = false,
) {
    private val values = sortedMapOf<String, StoredValue>()
    private var revision = 0L

    /** Whether the store takes calls. */
    var isUp: Boolean = true

    /** The share of answers that are lost after the call took effect. */
    var lostAnswers: Double = 0.0

    /** The longest time that a call or an answer travels. */
    var longestDelay: Duration = 3.milliseconds

    /** The calls that were carried out. */
    var calls: Int = 0
        private set

    /** Carries out [command]; [onResult] hears the answer, or that none came. */
    fun execute(command: StoreCommand, onResult: (StoreResult) -> Unit) {
        if (!isUp) {
            clock.after(REFUSAL_TIME) { onResult(StoreResult.Refused("the store is down")) }
            return
        }
        clock.after(travelTime()) {
            if (!isUp) {
                clock.after(ANSWER_TIMEOUT) { onResult(StoreResult.Unanswered("the store went down")) }
            } else {
                calls++
                answer(carryOut(command), onResult)
            }
        }
    }

    private fun answer(result: StoreResult, onResult: (StoreResult) -> Unit) {
        if (random.nextDouble() < lostAnswers) {
            clock.after(ANSWER_TIMEOUT) { onResult(StoreResult.Unanswered("the answer was lost")) }
        } else {
            clock.after(travelTime()) { onResult(result) }
        }
    }

    private fun carryOut(command: StoreCommand): StoreResult = when (command) {
        is StoreCommand.Read -> StoreResult.Values(listOfNotNull(values[command.key]), revision)

        is StoreCommand.ReadPrefix -> StoreResult.Values(
            values.tailMap(command.from).values.filter { it.key.startsWith(command.prefix) }.take(command.limit),
            revision,
        )

        is StoreCommand.CompareAndSet -> write(command)

        else -> StoreResult.Refused("the simulation does not carry out ${command::class.simpleName}")
    }

    private fun write(command: StoreCommand.CompareAndSet): StoreResult {
        val current = values[command.key]
        val holds = when (val expected = command.expected) {
            ExpectedState.Absent -> current == null
            is ExpectedState.AtVersion -> current?.revision == expected.version.revision
        }
        if (!holds && !ignoresConditions) return StoreResult.Conflict(current)
        revision++
        val created = current?.createRevision ?: revision
        values[command.key] = StoredValue(command.key, command.value, created, revision)
        return StoreResult.Written(revision)
    }

    private fun travelTime(): Duration = longestDelay * random.nextDouble()

    private companion object {
        val REFUSAL_TIME = 5.milliseconds
        val ANSWER_TIMEOUT = 1_000.milliseconds
    }
}
