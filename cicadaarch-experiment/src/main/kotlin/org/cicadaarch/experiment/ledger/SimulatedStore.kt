package org.cicadaarch.experiment.ledger

import kotlin.math.max
import kotlin.random.Random
import org.cicadaarch.model.store.ExpectedState
import org.cicadaarch.model.store.StoreCommand
import org.cicadaarch.model.store.StoreResult
import org.cicadaarch.model.store.StoredValue

/**
 * A key-value service in virtual time that takes 400 writes and 2,000 reads a second and queues what is above.
 */
internal class SimulatedStore(private val time: VirtualTime, private val random: Random) {
    private val values = sortedMapOf<String, StoredValue>()
    private var revision = 0L
    private var writesFreeAt = 0L
    private var readsFreeAt = 0L

    /** Calls that write, and how many of them met a conflict. */
    var writes = 0L
        private set
    var conflicts = 0L
        private set

    /** Calls that read. */
    var reads = 0L
        private set

    /** Characters of all values that were written. */
    var writtenBytes = 0L
        private set

    /** Characters of all values that are stored. */
    val storedBytes: Long get() = values.values.sumOf { it.value.orEmpty().length.toLong() }

    /** Runs [command] and calls [onResult] when its answer arrives. */
    fun execute(command: StoreCommand, onResult: (StoreResult) -> Unit) {
        val start = time.now + random.nextLong(LEAST_DELAY, MOST_DELAY)
        val end = if (command is StoreCommand.CompareAndSet) {
            writesFreeAt = max(writesFreeAt, start) + WRITE_TIME
            writesFreeAt
        } else {
            readsFreeAt = max(readsFreeAt, start) + READ_TIME
            readsFreeAt
        }
        time.after(end - time.now) {
            val result = apply(command)
            time.after(random.nextLong(LEAST_DELAY, MOST_DELAY)) { onResult(result) }
        }
    }

    private fun apply(command: StoreCommand): StoreResult = when (command) {
        is StoreCommand.Read -> read { listOfNotNull(values[command.key]) }

        is StoreCommand.ReadPrefix -> read {
            values.tailMap(command.from).values.filter { it.key.startsWith(command.prefix) }.take(command.limit)
        }

        is StoreCommand.CompareAndSet -> compareAndSet(command)

        else -> error("the ledger does not use $command")
    }

    private fun read(values: () -> List<StoredValue>): StoreResult {
        reads += 1
        return StoreResult.Values(values(), revision)
    }

    private fun compareAndSet(command: StoreCommand.CompareAndSet): StoreResult {
        writes += 1
        val current = values[command.key]
        val holds = when (val expected = command.expected) {
            ExpectedState.Absent -> current == null
            is ExpectedState.AtVersion -> current?.revision == expected.version.revision
        }
        if (!holds) {
            conflicts += 1
            return StoreResult.Conflict(current)
        }
        revision += 1
        writtenBytes += command.value.length
        values[command.key] = StoredValue(command.key, command.value, current?.createRevision ?: revision, revision)
        return StoreResult.Written(revision)
    }

    private companion object {
        const val WRITE_TIME = 2_500L
        const val READ_TIME = 500L
        const val LEAST_DELAY = 500L
        const val MOST_DELAY = 1_500L
    }
}
